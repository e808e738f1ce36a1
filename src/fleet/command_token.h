// Chooses the token of the commands to a machine, so that no copy of a start command has an effect
// after the agent has forgotten the attempt.
//
// The network may deliver a direct command again at any time, long after it was executed and
// answered. A copy of a start has no effect while the agent lists the attempt. A forget command
// removes the attempt from that list, and therefore goes out only under a token that is higher than
// that of every direct command with a start that this leader has sent to the machine: the agent
// then rejects all of these. Former leaders used lower tokens throughout.
//
// The higher token is the revision of a transaction that this leader has committed under its own
// token. It is higher than the tokens used before the commit, and lower than the token of any later
// leader, which is the revision of a later transaction. It applies to this machine only and costs
// no write. Operates on the leader's WorkerRegistry; does no I/O.
#pragma once

#include "fleet/machine.h"
#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "model/task.h"

namespace hallpier::fleet {

// True if the agent may still execute the last start command that was sent for a task, other than
// as a copy: the command is in flight, or the agent has not shown that it has seen its token.
bool MayStillExecute(const SentStart& start, const AgentState& agent);

// Records that a start command is sent to a machine under its current command token.
void RecordSentStart(const WorkerRegistry& registry, Machine& machine, const model::TaskId& task,
                     uint64_t attempt, bool direct);

// Raises the machine's command token if a forget command needs it. Returns false if no forget may
// be sent for now: a direct command with a start is in flight, which the higher token would
// invalidate, or this leader has not committed anything since it sent the last one.
bool PrepareForget(const WorkerRegistry& registry, Machine& machine);

// True if the machine lists an exited attempt that is not recorded there, and it can't be forgotten
// before this leader commits another transaction.
bool IsForgetBlocked(const WorkerRegistry& registry, const Machine& machine,
                     const jobs::JobTable::Placements& placements);

}  // namespace hallpier::fleet
