#include "fleet/placement_proof.h"

#include "fleet/command_token.h"

namespace hallpier::fleet {

bool IsProvenAbsent(const WorkerRegistry& registry, const Machine& machine,
                    const model::TaskId& task) {
  if (machine.reported_tasks.contains(task)) return false;
  // Until the worker has seen our token, it may still accept commands of an earlier leader. If it
  // has seen a higher token, another leader commands it.
  if (!registry.HasSeenToken(machine)) return false;
  auto sent = machine.sent_starts.find(task);
  // The worker now rejects commands of earlier leaders, and no start command of ours is recorded as
  // sent. (Reconcile() drops a record only if the task is neither recorded as placed nor reported,
  // and the start command is not in flight or would be rejected.)
  if (sent == machine.sent_starts.end()) return true;
  const SentStart& start = sent->second;
  if (MayStillExecute(start, machine.agent)) return false;
  // The worker has seen a higher token of this term and rejects the command.
  if (machine.agent.token > start.token) return true;
  // A new epoch of the agent starts with no tasks and rejects commands for earlier epochs.
  if (machine.agent.epoch > start.agent_epoch) return true;
  // The agent executes a command in a heartbeat response before it sends the next heartbeat, or
  // never. The response to a direct command proves nothing: the agent may send it after the
  // heartbeat whose response contains the start command, but before it executes that command. (For
  // a start in a direct command see SentStart::sequence.)
  return machine.agent.heartbeat_sequence > start.sequence;
}

bool IsStartForbidden(const Machine& machine, const model::TaskId& task, uint64_t attempt,
                      const jobs::JobTable& job_table, const StopRequests& stop_requests) {
  if (machine.cloud.terminating || machine.HasSpotNotice()) return true;
  if (stop_requests.Contains(task, attempt)) return true;
  const jobs::Job* job = job_table.Find(task.job);
  return job == nullptr || job->cancelled;
}

}  // namespace hallpier::fleet
