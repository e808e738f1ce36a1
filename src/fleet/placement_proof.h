// Proofs that the attempt of a recorded placement is gone. The safety of the scheduler depends on
// them: a recorded placement counts as alive until one of the proofs holds. Otherwise a task could
// run twice.
//
// There are four proofs:
//   1. the cloud has confirmed the machine's termination (WorkerRegistry::IsTerminationConfirmed);
//   2. the lease of everything that may run on the machine has expired
//      (WorkerRegistry::LeaseExpiry);
//   3. the machine has reported that the attempt exited (task_outcomes.h); an exit other than a
//      completion counts only if the agent had seen a token of this term;
//   4. the machine's report does not list the task, and no start command for it can still arrive
//      (IsProvenAbsent).
// They stay true when copies of executed commands arrive (command_token.h). Pure functions; no I/O.
#pragma once

#include <cstdint>

#include "fleet/machine.h"
#include "fleet/stop_requests.h"
#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "model/ids.h"
#include "model/task.h"

namespace hallpier::fleet {

// True if the task does not run on the machine and no command sent so far can start it there. Does
// not cover future commands: the caller must ensure that none is sent (see IsStartForbidden).
bool IsProvenAbsent(const WorkerRegistry& registry, const Machine& machine,
                    const model::TaskId& task);

// True if an attempt must not be started on the machine where it is recorded: the machine is to be
// terminated or reclaimed, a stop of the attempt is requested, or the job is cancelled or unknown.
bool IsStartForbidden(const Machine& machine, const model::TaskId& task, uint64_t attempt,
                      const jobs::JobTable& job_table, const StopRequests& stop_requests);

}  // namespace hallpier::fleet
