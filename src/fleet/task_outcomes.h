// Derives the outcome of recorded placements from the state of the machines: which tasks are done,
// and which must be requeued because their attempt is proven gone.
//
// Runs once per round on the event loop's thread, on the leader's WorkerRegistry. Does no I/O; the
// caller writes the transitions.
#pragma once

#include <vector>

#include "fleet/worker_registry.h"
#include "jobs/job_table.h"

namespace hallpier::fleet {

// Returns the transitions that the caller must record. Adds a stop request to the registry for each
// requeued attempt, and drops stop requests that are fulfilled. `now`: seconds of the steady clock.
std::vector<jobs::TaskTransition> CollectTaskTransitions(WorkerRegistry& registry,
                                                         const jobs::JobTable& job_table,
                                                         double now);

}  // namespace hallpier::fleet
