// Proofs that a recorded placement is gone, on which the safety of the scheduler rests: a recorded
// placement counts as alive until one of these proves the opposite. Otherwise a task could run
// twice.
//
// There are four proofs:
//   1. the cloud has confirmed the machine's termination (WorkerRegistry::IsConfirmedGone);
//   2. the lease of whatever may run there has expired (WorkerRegistry::LeaseExpiry);
//   3. the machine reports that the attempt has exited (task_outcomes.h);
//   4. the machine reports without the task, and no start command can arrive any more
//      (IsProvenAbsent).
// Pure functions of a machine's state; no I/O.
#pragma once

#include <cstdint>

#include "fleet/machine.h"
#include "fleet/stop_requests.h"
#include "jobs/job_table.h"
#include "model/ids.h"
#include "model/task.h"

namespace hallpier::fleet {

// True if the task does not run on the machine and can't be started there by any command that was
// ever sent. Says nothing of commands that are yet to be sent: the caller must make sure that none
// is (see IsStartBarred). `token`: ours, the highest that this leader commands under.
bool IsProvenAbsent(const Machine& machine, const model::TaskId& task, model::FencingToken token);

// True if an attempt must not be started on a machine even though it is recorded there: the machine
// goes away, or the attempt is to be stopped, or its job is cancelled or unknown.
bool IsStartBarred(const Machine& machine, const model::TaskId& task, uint64_t attempt,
                   const jobs::JobTable& job_table, const StopRequests& stop_requests);

}  // namespace hallpier::fleet
