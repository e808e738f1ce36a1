// One round: decides which waiting tasks start on which machines, which running tasks are preempted
// for others, and what new machines are needed. Does no I/O and takes the time as an argument; runs
// on the thread of its caller. The steps stand in modules of their own beside this one.
#pragma once

#include <cstddef>

#include "config/settings.h"
#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "plan/placement_scope.h"
#include "plan/planning_context.h"
#include "plan/round_result.h"

namespace hallpier::plan {

// Waiting tasks that a round maps: what one transaction can record, and never less than 500.
size_t MaxTasksPerRound(const config::Settings& settings);

// Plans one round. `context`: what latency-sensitive job classes need is learned there. `now`:
// steady time; `time_of_day`: what submissions are stamped with; both in seconds. `scope`: null
// where machines are not divided.
RoundResult PlanRound(PlanningContext& context, const jobs::JobTable& job_table,
                      const fleet::WorkerRegistry& registry, double now, double time_of_day,
                      const PlacementScope* scope = nullptr);

}  // namespace hallpier::plan
