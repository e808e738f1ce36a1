// Plans a scheduling round: which waiting tasks start on which machines, which running tasks are
// preempted for others, and which new machines are needed. Does no I/O, takes the time as an
// argument and runs on the caller's thread. The steps are implemented in the other modules of this
// directory.
#pragma once

#include <cstddef>

#include "config/settings.h"
#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "plan/placement_scope.h"
#include "plan/planning_context.h"
#include "plan/round_result.h"

namespace hallpier::plan {

// Returns the maximum number of waiting tasks that a round maps: as many as one transaction can
// record, and at least 500.
size_t MaxTasksPerRound(const config::Settings& settings);

// Plans one round. Updates the requirements of latency-sensitive job classes in `context`. `now` is
// the time of the steady clock, `time_of_day` the wall-clock time in seconds since the Unix epoch,
// as in submission timestamps; both are in seconds. `scope` is null if no block has an owner.
RoundResult PlanRound(PlanningContext& context, const jobs::JobTable& job_table,
                      const fleet::WorkerRegistry& registry, double now, double time_of_day,
                      const PlacementScope* scope = nullptr);

}  // namespace hallpier::plan
