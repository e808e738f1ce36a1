// The input of one round. The referenced objects are owned by the caller of PlanRound(), outlive
// that call and are not changed by anything else during it.
#pragma once

#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "plan/placement_scope.h"
#include "plan/planning_context.h"

namespace hallpier::plan {

struct RoundInput {
  const PlanningContext& context;
  const jobs::JobTable& job_table;
  const fleet::WorkerRegistry& registry;
  double now = 0;                         // time of the steady clock, seconds
  double time_of_day = 0;                 // wall-clock time, seconds since the Unix epoch
  const PlacementScope* scope = nullptr;  // null if no block has an owner

  // Returns true if the round is planned for one owner only.
  bool IsSingleOwner() const { return scope != nullptr && scope->single_owner.has_value(); }
  // Returns the seconds since the job became runnable, that is, since its submission or, if it has
  // dependencies, since the last of them was done.
  double AgeOf(const jobs::Job& job) const { return time_of_day - job.runnable_since; }
};

}  // namespace hallpier::plan
