// Compares what is recorded for a machine with what the machine reports, and derives the commands
// that bring the machine in line with the records.
//
// Works on the leader's WorkerRegistry, on the event loop's thread. Does no I/O: the caller sends
// the commands, in the answer to a heartbeat or in a request of its own (a direct command).
#pragma once

#include <string>
#include <vector>

#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "model/heartbeat.h"
#include "model/ids.h"
#include "model/task.h"

namespace hallpier::fleet {

// The commands for a machine. Start commands among them are noted as sent. `direct`: they go out as
// a direct command, whose end must be passed to OnDirectCommandFinished(); otherwise they go out in
// the answer to the machine's newest heartbeat.
std::vector<model::WorkerCommand> Reconcile(WorkerRegistry& registry, Machine& machine,
                                            const jobs::JobTable& job_table, bool direct);

// The stop commands among them that hold whatever has been recorded since `job_table` was read:
// those for tasks of jobs that are known to be cancelled, as a cancellation is never taken back.
std::vector<model::WorkerCommand> CancellationCommands(const Machine& machine,
                                                       const jobs::JobTable& job_table);

// A direct command has ended. `token`: the one that it was sent under. `answered`: the worker has
// answered it, and will not execute it later.
void OnDirectCommandFinished(WorkerRegistry& registry, const std::string& machine_name,
                             const std::vector<model::WorkerCommand>& commands,
                             model::FencingToken token, bool answered);

// True if a recorded attempt is not reported by its machine, and its start has not been sent there
// in the agent's present epoch under our token. False for a machine that has never reported.
bool IsStartDue(const WorkerRegistry& registry, const std::string& machine_name,
                const model::TaskId& task, uint64_t attempt);

// True if a lost start command keeps an attempt that is to be stopped from being proven absent:
// only a higher token makes the command void.
bool NeedsHigherToken(const WorkerRegistry& registry, const jobs::JobTable& job_table);

}  // namespace hallpier::fleet
