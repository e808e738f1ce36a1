#include "fleet/placement_proof.h"

namespace hallpier::fleet {

bool IsProvenAbsent(const Machine& machine, const model::TaskId& task, model::FencingToken token) {
  if (machine.reported_tasks.contains(task)) return false;
  // Until the worker has seen our token, it may still accept commands of an earlier leader.
  if (machine.agent.token != token || !token.is_set()) return false;
  auto sent = machine.sent_starts.find(task);
  // The worker now rejects commands of earlier leaders, and we have sent no start command.
  if (sent == machine.sent_starts.end()) return true;
  const SentStart& start = sent->second;
  // The command was sent under an earlier token of ours. The worker has seen the current token, so
  // it rejects the command.
  if (start.token != token) return true;
  // A new epoch of the agent starts with no tasks and rejects commands for earlier epochs.
  if (machine.agent.epoch > start.agent_epoch) return true;
  if (start.in_flight()) return false;
  // The agent executes a command in a heartbeat response before it sends the next heartbeat, or
  // never. The response to a direct command may be sent in between and proves nothing.
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
