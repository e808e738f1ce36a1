// In which order a round serves the jobs: priority tiers by priority and guarantee, and bands
// within a tier by the work that is left of a job and whether it can still meet its objective. Does
// no I/O; refers to the context of the round that it is made for.
#pragma once

#include "jobs/job_table.h"
#include "plan/planning_context.h"

namespace hallpier::plan {

// Bands of a tier.
inline constexpr int kBands = 16;

class JobOrder {
 public:
  // `time_of_day`: what submissions are stamped with, seconds.
  JobOrder(const PlanningContext& context, double time_of_day)
      : context_(context), time_of_day_(time_of_day) {}

  // The job's tier; the smallest is served first. `within_guarantee`: the job is within what its
  // team is guaranteed.
  int PriorityTier(const jobs::Job& job, bool within_guarantee) const;
  // The job's band within its tier, 0 to kBands - 1; the smallest is served first.
  int RemainingWorkBand(const jobs::Job& job) const;
  // True if a job within a guarantee has waited for as long as a machine takes to boot.
  bool IsGuaranteeOverdue(const jobs::Job& job, bool within_guarantee) const;

 private:
  // True if a best-effort job has waited long enough to move up (priority aging).
  bool HasAged(const jobs::Job& job) const;
  // True if the job can't meet any of its objectives any more, and has not waited long enough yet
  // to be served like those that can.
  bool HasMissedObjectives(const jobs::Job& job, double run_s) const;

  const PlanningContext& context_;
  const double time_of_day_;
};

}  // namespace hallpier::plan
