#include "simulation/simulated_workers.h"

#include <algorithm>
#include <utility>

#include "fixtures.h"

namespace hallpier::testing_support {

SimulatedWorkers::SimulatedWorkers(EventQueue& events, Random& random, Options options, Hooks hooks)
    : events_(events), random_(random), options_(options), hooks_(std::move(hooks)) {}

void SimulatedWorkers::Add(const std::string& machine) {
  workers_[machine];
  events_.At(random_.Uniform(0, options_.heartbeat_interval_s),
             [this, machine] { HeartbeatLoop(machine); });
}

std::vector<std::string> SimulatedWorkers::Names() const {
  std::vector<std::string> names;
  names.reserve(workers_.size());
  for (const auto& [name, worker] : workers_) names.push_back(name);
  return names;
}

void SimulatedWorkers::RequestHeartbeat(const std::string& machine) {
  Worker& worker = workers_.at(machine);
  if (worker.heartbeat_requested) return;
  worker.heartbeat_requested = true;
  events_.At(options_.delay_s, [this, machine] { SendHeartbeat(machine); });
}

void SimulatedWorkers::HeartbeatLoop(const std::string& machine) {
  SendHeartbeat(machine);
  events_.At(options_.heartbeat_interval_s * random_.Uniform(0.75, 1.25),
             [this, machine] { HeartbeatLoop(machine); });
}

void SimulatedWorkers::SendHeartbeat(const std::string& machine) {
  Worker& worker = workers_.at(machine);
  worker.heartbeat_requested = false;
  ExpireLeases();
  if (!hooks_.has_leader() || worker.cut) return;
  hooks_.send(TakeStatusReport(machine));
}

model::Heartbeat SimulatedWorkers::TakeStatusReport(const std::string& machine) {
  Worker& worker = workers_.at(machine);
  model::Heartbeat heartbeat =
      MakeHeartbeat(machine, worker.agent_epoch, ++worker.sequence, worker.token);
  for (const auto& [task, run] : worker.tasks) {
    const auto phase = run.ended ? model::TaskPhase::kExited : model::TaskPhase::kRunning;
    heartbeat.tasks.push_back(MakeTaskStatus(task.job, task.index, run.attempt, phase, run.cause));
  }
  return heartbeat;
}

std::optional<model::Heartbeat> SimulatedWorkers::OnDirectCommand(const DirectCommand& command) {
  ExpireLeases();
  Worker& worker = workers_.at(command.machine);
  if (worker.cut) return std::nullopt;
  const bool same_epoch = command.agent_epoch == model::AgentEpoch(worker.agent_epoch);
  if (command.token >= worker.token && same_epoch) {
    worker.token = command.token;
    for (const model::WorkerCommand& order : command.commands) Execute(command.machine, order);
  }
  return TakeStatusReport(command.machine);
}

void SimulatedWorkers::OnAnswer(const model::Heartbeat& heartbeat, model::FencingToken token,
                                const std::vector<model::WorkerCommand>& commands, double sent) {
  ExpireLeases();
  Worker& worker = workers_.at(heartbeat.machine);
  const bool same_epoch = heartbeat.agent_epoch == model::AgentEpoch(worker.agent_epoch);
  if (worker.cut || token < worker.token || !same_epoch) return;
  worker.token = token;
  worker.answered_at = std::max(worker.answered_at, sent);
  for (const model::WorkerCommand& command : commands) Execute(heartbeat.machine, command);
}

void SimulatedWorkers::Execute(const std::string& machine, const model::WorkerCommand& command) {
  Worker& worker = workers_.at(machine);
  auto it = worker.tasks.find(command.task);
  const bool here = it != worker.tasks.end() && it->second.attempt == command.attempt;
  switch (command.kind) {
    case model::CommandKind::kRun:
      if (!here) StartTask(machine, command);
      break;
    case model::CommandKind::kStop:
      if (here) EndTask(machine, command.task, command.attempt, model::ExitCause::kStopped);
      break;
    case model::CommandKind::kForget:
      if (here) worker.tasks.erase(it);
      break;
  }
}

void SimulatedWorkers::ExpireLeases() {
  for (auto& [name, worker] : workers_) {
    if (events_.now() - worker.answered_at <= options_.lease_s) continue;
    worker.tasks.clear();
    worker.started_attempts.clear();
    ++worker.agent_epoch;
    worker.answered_at = events_.now();
  }
}

void SimulatedWorkers::StartTask(const std::string& machine, const model::WorkerCommand& command) {
  for (const auto& [name, other] : workers_) {
    auto it = other.tasks.find(command.task);
    if (it != other.tasks.end() && !it->second.ended) ++duplicate_starts_;
  }
  Worker& worker = workers_.at(machine);
  if (!worker.started_attempts.insert({command.task, command.attempt}).second) ++repeated_starts_;
  TaskRun run;
  run.attempt = command.attempt;
  run.cpus = hooks_.cpus_of(command.task);
  worker.tasks[command.task] = run;
  hooks_.on_start(machine, command);
  const uint64_t agent_epoch = worker.agent_epoch;
  const bool fails = options_.error_rate > 0 && random_.Uniform(0, 1) < options_.error_rate;
  const auto cause = fails ? model::ExitCause::kError : model::ExitCause::kDone;
  events_.At(options_.run_s * random_.Uniform(0.7, 1.3),
             [this, machine, command, agent_epoch, cause] {
               if (workers_.at(machine).agent_epoch != agent_epoch) return;
               EndTask(machine, command.task, command.attempt, cause);
             });
}

void SimulatedWorkers::EndTask(const std::string& machine, const model::TaskId& task,
                               uint64_t attempt, model::ExitCause cause) {
  Worker& worker = workers_.at(machine);
  auto it = worker.tasks.find(task);
  if (it == worker.tasks.end() || it->second.attempt != attempt || it->second.ended) return;
  it->second.ended = true;
  it->second.cause = cause;
  events_.At(options_.delay_s, [this, machine] { SendHeartbeat(machine); });
}

double SimulatedWorkers::UsedCpus() {
  ExpireLeases();
  double used = 0;
  for (const auto& [name, worker] : workers_) {
    for (const auto& [task, run] : worker.tasks) {
      if (!run.ended) used += run.cpus;
    }
  }
  return used;
}

double SimulatedWorkers::MaxFreeCpus(double machine_cpus) const {
  double free = 0;
  for (const auto& [name, worker] : workers_) {
    double taken = 0;
    for (const auto& [task, run] : worker.tasks) taken += run.ended ? 0 : run.cpus;
    free = std::max(free, machine_cpus - taken);
  }
  return free;
}

}  // namespace hallpier::testing_support
