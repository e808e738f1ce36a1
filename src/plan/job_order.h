// In which order a round looks at the jobs: tiers by priority and guarantee, bands within a tier by
// what is left of a job and whether it can still make its aim. Pure.
#pragma once

#include "jobs/job_table.h"
#include "plan/round.h"

namespace hallpier::plan {

// Bands of a tier.
inline constexpr int kBands = 16;

// Seconds that a new machine usually takes until it is up, whatever its type.
double BootTime(const Context& context);

class JobOrder {
 public:
  // `wall_now`: the time of day, which submissions are stamped with.
  JobOrder(const Context& context, double wall_now) : context_(context), wall_now_(wall_now) {}

  // The smaller comes first. `within`: the job is within its team's guarantee.
  int Tier(const jobs::Job& job, bool within) const;
  int Band(const jobs::Job& job) const;
  // True if a job within a guarantee has waited for as long as a machine takes to boot.
  bool Overdue(const jobs::Job& job, bool within) const;

 private:
  bool Pressing(const jobs::Job& job) const;

  const Context& context_;
  const double wall_now_;
};

}  // namespace hallpier::plan
