#include "fleet/response_acknowledgement.h"

#include <algorithm>

namespace hallpier::fleet {
namespace {

// Responses to a machine count as lost once this many in a row are unacknowledged.
constexpr int kMinLostResponses = 3;
// If the agent's lease expires within this fraction of its duration after a response, that counts
// as kMinLostResponses unacknowledged responses. The fraction is below 1 because the lease starts
// when the agent sends the heartbeat, which may be a few seconds before the response.
constexpr double kLeaseFractionAfterResponse = 0.75;
// Exactly kMinLostResponses may have come in quick succession, which is weak evidence. They suffice
// only once the time since the first of them exceeds the lease divided by this.
constexpr double kMinLossDurationDivisor = 3;

void CountUnacknowledged(ResponseState& responses, int count, double now) {
  if (responses.unacknowledged == 0) responses.unacknowledged_since = now;
  responses.unacknowledged += count;
}

bool ListsTask(const model::Heartbeat& report, const model::TaskId& task) {
  return std::any_of(report.tasks.begin(), report.tasks.end(),
                     [&](const model::TaskStatus& status) { return status.task == task; });
}

}  // namespace

void CheckAcknowledgement(Machine& machine, const model::Heartbeat& report,
                          model::FencingToken token, double lease_s, double now) {
  ResponseState& responses = machine.responses;
  if (!machine.has_reported() || responses.token < token) return;
  if (report.agent_epoch > responses.agent_epoch) {
    // The agent's lease has expired, since an epoch ends with the lease. If we responded within
    // that lease, the response had no effect.
    const bool responded_in_time =
        now - machine.agent.last_response < kLeaseFractionAfterResponse * lease_s;
    if (responded_in_time) CountUnacknowledged(responses, kMinLostResponses, now);
    return;
  }
  const bool effect_expected =
      machine.agent.token < responses.token || !responses.expected_starts.empty();
  if (!effect_expected) return;
  const bool acknowledged =
      report.token >= responses.token &&
      std::all_of(responses.expected_starts.begin(), responses.expected_starts.end(),
                  [&](const model::TaskId& task) { return ListsTask(report, task); });
  // The agent drops a response that a direct command under a higher token has overtaken.
  const bool overtaken = report.token > responses.token;
  if (acknowledged) {
    responses.unacknowledged = 0;
  } else if (!overtaken) {
    CountUnacknowledged(responses, 1, now);
  }
}

void ExpectAcknowledgement(Machine& machine, const std::vector<model::WorkerCommand>& commands,
                           model::FencingToken token) {
  ResponseState& responses = machine.responses;
  responses.token = token;
  responses.agent_epoch = machine.agent.epoch;
  responses.expected_starts.clear();
  for (const model::WorkerCommand& command : commands) {
    if (command.kind == model::CommandKind::kRun) responses.expected_starts.push_back(command.task);
  }
}

bool HasLostResponses(const Machine& machine, double lease_s, double now) {
  const ResponseState& responses = machine.responses;
  if (responses.unacknowledged < kMinLostResponses) return false;
  return responses.unacknowledged > kMinLostResponses ||
         now - responses.unacknowledged_since > lease_s / kMinLossDurationDivisor;
}

}  // namespace hallpier::fleet
