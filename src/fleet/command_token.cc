#include "fleet/command_token.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace hallpier::fleet {
namespace {

bool HasOpenDirectStart(const Machine& machine) {
  return std::any_of(machine.sent_starts.begin(), machine.sent_starts.end(),
                     [](const auto& entry) { return entry.second.open_direct_commands > 0; });
}

}  // namespace

bool MayStillExecute(const SentStart& start, const AgentState& agent) {
  if (agent.epoch > start.agent_epoch || agent.token > start.token) return false;
  // An earlier direct command with the same start may be in flight under a lower token, until the
  // agent has seen this one.
  return start.in_flight() || agent.token < start.token;
}

void RecordSentStart(const WorkerRegistry& registry, Machine& machine, const model::TaskId& task,
                     uint64_t attempt, bool direct) {
  const model::FencingToken token = registry.CommandToken(machine);
  SentStart& start = machine.sent_starts[task];
  if (start.token != token || start.agent_epoch != machine.agent.epoch) start = {};
  start.attempt = attempt;
  start.token = token;
  start.agent_epoch = machine.agent.epoch;
  start.sequence = machine.agent.sequence;
  if (!direct) return;
  ++start.open_direct_commands;
  machine.direct_start_token = std::max(machine.direct_start_token, token);
}

bool PrepareForget(const WorkerRegistry& registry, Machine& machine) {
  if (registry.CommandToken(machine) > machine.direct_start_token) return true;
  if (registry.highest_token() <= machine.direct_start_token) return false;
  if (HasOpenDirectStart(machine)) return false;
  machine.command_token = registry.highest_token();
  spdlog::debug("command: token raised machine={} token={} reason=forget", machine.name,
                machine.command_token.value());
  return true;
}

bool IsForgetBlocked(const WorkerRegistry& registry, const Machine& machine,
                     const jobs::JobTable::Placements& placements) {
  if (registry.highest_token() > machine.direct_start_token) return false;
  return std::any_of(machine.reported_tasks.begin(), machine.reported_tasks.end(),
                     [&](const auto& entry) {
                       const auto& [task, reported] = entry;
                       if (reported.phase != model::TaskPhase::kExited) return false;
                       auto recorded = placements.find(task);
                       return recorded == placements.end() || recorded->second != reported.attempt;
                     });
}

}  // namespace hallpier::fleet
