// Compares the recorded placements of a machine with the tasks that it reports, and derives the
// commands that bring the machine in line with the records.
//
// Operates on the leader's WorkerRegistry, on the event loop's thread. Does no I/O: the caller
// sends the commands, either in a heartbeat response or in a separate request (a direct command).
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "model/heartbeat.h"
#include "model/ids.h"
#include "model/task.h"

namespace hallpier::fleet {

// Returns whether tasks of a job may be started now.
using StartFilter = std::function<bool(const std::string& job)>;

// Returns the commands for a machine, and records the start commands among them as sent. If
// `direct`, the caller sends them as a direct command and must call OnDirectCommandFinished() when
// it ends. Otherwise the caller sends them in the response to the machine's newest heartbeat.
// Omits the starts for which `may_start` returns false; an empty filter omits none.
std::vector<model::WorkerCommand> Reconcile(WorkerRegistry& registry, Machine& machine,
                                            const jobs::JobTable& job_table, bool direct,
                                            const StartFilter& may_start = {});

// True if Reconcile() would omit a start because of `may_start`.
bool OmitsStarts(const WorkerRegistry& registry, const Machine& machine,
                 const jobs::JobTable& job_table, const StartFilter& may_start);

// Returns only the stop commands for tasks of jobs that are known to be cancelled. These are
// correct even if `job_table` is out of date, because a cancellation is never reverted.
std::vector<model::WorkerCommand> CancellationCommands(const Machine& machine,
                                                       const jobs::JobTable& job_table);

// Handles the end of a direct command. `token`: the token under which it was sent. `responded`: the
// worker has responded, and will not execute the command later.
void OnDirectCommandFinished(WorkerRegistry& registry, const std::string& machine_name,
                             const std::vector<model::WorkerCommand>& commands,
                             model::FencingToken token, bool responded);

// True if a machine does not report an attempt that is recorded on it, and no start command for the
// attempt has been sent to the agent's current epoch under the leader's token or a higher one.
// False if the machine has never reported.
bool IsStartDue(const WorkerRegistry& registry, const std::string& machine_name,
                const model::TaskId& task, uint64_t attempt);

// True if only a higher token of the leader helps: an attempt that must not be started cannot be
// proven absent because a start command for it got no response, or an exited attempt can't be
// forgotten (IsForgetBlocked).
bool NeedsHigherToken(const WorkerRegistry& registry, const jobs::JobTable& job_table);

}  // namespace hallpier::fleet
