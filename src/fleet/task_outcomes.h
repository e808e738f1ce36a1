// Derives from the state of the machines what has become of recorded placements: which tasks are
// done, and which have to be requeued because their attempt is proven to be gone.
//
// Runs once a round on the event loop's thread, on the leader's WorkerRegistry. Does no I/O; the
// caller writes the transitions.
#pragma once

#include <vector>

#include "fleet/worker_registry.h"
#include "jobs/job_table.h"

namespace hallpier::fleet {

// The transitions that have to be recorded. A requeued attempt is entered into the registry's stop
// requests, and requests that are fulfilled are dropped from them. `now`: steady seconds.
std::vector<jobs::TaskTransition> CollectTaskTransitions(WorkerRegistry& registry,
                                                         const jobs::JobTable& job_table,
                                                         double now);

}  // namespace hallpier::fleet
