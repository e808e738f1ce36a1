// The order in which a round serves jobs. Jobs are grouped into tiers by priority and team
// guarantee, and within a tier into bands by remaining work and by whether the job can still meet
// its service-level objective. Does no I/O; keeps a reference to the round's context.
#pragma once

#include "jobs/job_table.h"
#include "plan/planning_context.h"

namespace hallpier::plan {

// Number of bands in each tier.
inline constexpr int kBandsPerTier = 16;

class JobOrder {
 public:
  // `time_of_day`: wall-clock time in seconds since the Unix epoch, as in submission timestamps.
  JobOrder(const PlanningContext& context, double time_of_day)
      : context_(context), time_of_day_(time_of_day) {}

  // Returns the job's tier; the lowest tier is served first. `within_guarantee`: true if the job is
  // within its team's guarantee.
  int PriorityTier(const jobs::Job& job, bool within_guarantee) const;
  // Returns the job's band within its tier, from 0 to kBandsPerTier - 1; the lowest is served
  // first.
  int RemainingWorkBand(const jobs::Job& job) const;
  // Returns true if the job is within its team's guarantee and has waited longer than a machine
  // takes to boot.
  bool IsGuaranteeOverdue(const jobs::Job& job, bool within_guarantee) const;

 private:
  // Returns true if a best-effort job has waited long enough to move up (priority aging).
  bool HasAged(const jobs::Job& job) const;
  // Returns true if the job can no longer meet any of its objectives, and has not yet waited long
  // enough to be served like the jobs that can.
  bool HasMissedObjectives(const jobs::Job& job, double run_s) const;

  const PlanningContext& context_;
  const double time_of_day_;
};

}  // namespace hallpier::plan
