#include "fleet/placement_proof.h"

namespace hallpier::fleet {

bool IsProvenAbsent(const Machine& machine, const model::TaskId& task, model::FencingToken token) {
  if (machine.reported_tasks.contains(task)) return false;
  // Until the worker has seen our token, commands of an earlier leader may still arrive.
  if (machine.agent.token != token || !token.known()) return false;
  auto sent = machine.sent_starts.find(task);
  // The worker refuses earlier leaders by now, and we have sent no start.
  if (sent == machine.sent_starts.end()) return true;
  const SentStart& start = sent->second;
  // Sent under an earlier token of ours: void since the worker saw the present one.
  if (start.token != token) return true;
  // A new epoch of the agent has forgotten everything, and refuses commands for an earlier one.
  if (machine.agent.epoch > start.agent_epoch) return true;
  if (start.in_flight()) return false;
  // A command in the answer to a heartbeat is executed before the next heartbeat is sent, or never.
  // The answer to a direct command may be sent in between, and proves nothing.
  return machine.agent.heartbeat_sequence > start.sequence;
}

bool IsStartBarred(const Machine& machine, const model::TaskId& task, uint64_t attempt,
                   const jobs::JobTable& job_table, const StopRequests& stop_requests) {
  if (machine.cloud.terminating || machine.HasSpotNotice()) return true;
  if (stop_requests.Contains(task, attempt)) return true;
  const jobs::Job* job = job_table.Find(task.job);
  return job == nullptr || job->cancelled;
}

}  // namespace hallpier::fleet
