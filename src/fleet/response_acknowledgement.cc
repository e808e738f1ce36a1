#include "fleet/response_acknowledgement.h"

#include <algorithm>

namespace hallpier::fleet {
namespace {

// Answers to a machine count as lost once this many in a row had no effect...
constexpr int kLostAnswers = 3;
// ...or once its lease has run out within this part of it after an answer. (The lease counts from
// when the answered heartbeat was sent, which may be a few seconds before the answer.)
constexpr double kLeasePartAfterAnswer = 0.75;
// Just as many as that prove little if they come in quick succession: their time must then exceed
// the lease divided by this.
constexpr double kLeaseDivisor = 3;

void CountUnacknowledged(ResponseState& answers, int count, double now) {
  if (answers.unacknowledged == 0) answers.unacknowledged_since = now;
  answers.unacknowledged += count;
}

bool Lists(const model::Heartbeat& report, const model::TaskId& task) {
  return std::any_of(report.tasks.begin(), report.tasks.end(),
                     [&](const model::TaskStatus& status) { return status.task == task; });
}

}  // namespace

void CheckAcknowledgement(Machine& machine, const model::Heartbeat& report,
                          model::FencingToken token, double lease_s, double now) {
  ResponseState& answers = machine.answers;
  if (!machine.has_reported() || answers.token != token) return;
  if (report.agent_epoch > answers.agent_epoch) {
    // Its lease ran out although we had answered within it.
    const bool answered_in_time = now - machine.agent.last_answer < kLeasePartAfterAnswer * lease_s;
    if (answered_in_time) CountUnacknowledged(answers, kLostAnswers, now);
    return;
  }
  const bool effect_expected = machine.agent.token < token || !answers.starts.empty();
  if (!effect_expected) return;
  const bool acknowledged =
      report.token >= token &&
      std::all_of(answers.starts.begin(), answers.starts.end(),
                  [&](const model::TaskId& task) { return Lists(report, task); });
  if (acknowledged) {
    answers.unacknowledged = 0;
  } else {
    CountUnacknowledged(answers, 1, now);
  }
}

void ExpectAcknowledgement(Machine& machine, const std::vector<model::WorkerCommand>& commands,
                           model::FencingToken token) {
  ResponseState& answers = machine.answers;
  answers.token = token;
  answers.agent_epoch = machine.agent.epoch;
  answers.starts.clear();
  for (const model::WorkerCommand& command : commands) {
    if (command.kind == model::CommandKind::kRun) answers.starts.push_back(command.task);
  }
}

bool AreAnswersLost(const Machine& machine, double lease_s, double now) {
  const ResponseState& answers = machine.answers;
  if (answers.unacknowledged < kLostAnswers) return false;
  return answers.unacknowledged > kLostAnswers ||
         now - answers.unacknowledged_since > lease_s / kLeaseDivisor;
}

}  // namespace hallpier::fleet
