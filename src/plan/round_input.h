// What one round is planned from. The references belong to the caller of PlanRound() and hold for
// that call; nothing else changes them meanwhile.
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
  double now = 0;                         // steady time, seconds
  double time_of_day = 0;                 // what submissions are stamped with, seconds
  const PlacementScope* scope = nullptr;  // null: machines are not divided

  // True for a round of one holder alone.
  bool IsSingleHolder() const { return scope != nullptr && scope->single_holder.has_value(); }
  // Seconds since a job might start: since it was submitted or, if it awaited others, since the
  // last of these was done.
  double AgeOf(const jobs::Job& job) const { return time_of_day - job.runnable_since; }
};

}  // namespace hallpier::plan
