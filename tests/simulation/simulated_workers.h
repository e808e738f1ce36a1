// Machines of a simulation. Each sends heartbeats to the leader, executes commands, runs tasks for
// a random duration and loses its tasks when its lease expires. The tasks that run here are the
// ground truth against which the controllers' records are checked.
//
// Owned by a simulated cluster, which delivers the heartbeats and their answers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "model/heartbeat.h"
#include "model/ids.h"
#include "model/task.h"
#include "simulation/event_queue.h"
#include "simulation/random.h"

namespace hallpier::testing_support {

class SimulatedWorkers {
 public:
  struct Options {
    double run_s = 4;        // average duration of a task
    double delay_s = 0.005;  // from a change on a machine to its heartbeat
    double heartbeat_interval_s = 2;
    double lease_s = 12;
    double error_rate = 0;  // probability that a task fails instead of completing
  };
  // A request with commands that a leader sends to a machine's agent.
  struct DirectCommand {
    std::string machine;
    model::FencingToken token;
    model::AgentEpoch agent_epoch;
    std::vector<model::WorkerCommand> commands;
  };
  struct Hooks {
    // Returns true if there is a leader to receive heartbeats.
    std::function<bool()> has_leader;
    // Sends a heartbeat to the leader.
    std::function<void(const model::Heartbeat& heartbeat)> send;
    // Returns the processors of a task that count as used; 0 for a task that is not counted.
    std::function<double(const model::TaskId& task)> cpus_of;
    // Called after a task has started.
    std::function<void(const std::string& machine, const model::WorkerCommand& command)> on_start;
  };
  SimulatedWorkers(EventQueue& events, Random& random, Options options, Hooks hooks);

  // Adds a machine. It sends its first heartbeat within one heartbeat interval.
  void Add(const std::string& machine);
  std::vector<std::string> Names() const;
  // Partitions a machine from the controllers. Its tasks continue to run.
  void Cut(const std::string& machine, bool cut) { workers_.at(machine).cut = cut; }
  // Makes a machine send its next heartbeat after Options::delay_s, because the leader has commands
  // for it.
  void RequestHeartbeat(const std::string& machine);
  // Handles the answer to a heartbeat that was sent at `sent`.
  void OnAnswer(const model::Heartbeat& heartbeat, model::FencingToken token,
                const std::vector<model::WorkerCommand>& commands, double sent);

  // Executes a direct command, unless the agent has seen a higher token or is in another epoch.
  // Returns the status report that the agent responds with; std::nullopt if the machine is cut off.
  std::optional<model::Heartbeat> OnDirectCommand(const DirectCommand& command);

  // Returns the processors used by running tasks, as counted by Hooks::cpus_of.
  double UsedCpus();
  // Returns the largest number of free processors on one machine, if each has `machine_cpus`.
  double MaxFreeCpus(double machine_cpus) const;
  // Number of starts of a task that was already running on a machine.
  int duplicate_starts() const { return duplicate_starts_; }
  // Number of starts of an attempt that the same epoch of an agent had started before.
  int repeated_starts() const { return repeated_starts_; }

 private:
  struct TaskRun {
    uint64_t attempt = 0;
    double cpus = 0;
    bool ended = false;
    model::ExitCause cause = model::ExitCause::kNone;
  };
  struct Worker {
    uint64_t agent_epoch = 1;
    uint64_t sequence = 0;
    model::FencingToken token;
    double answered_at = 0;  // send time of the latest answered heartbeat
    std::map<model::TaskId, TaskRun> tasks;
    std::set<std::pair<model::TaskId, uint64_t>> started_attempts;  // in this epoch
    bool heartbeat_requested = false;
    bool cut = false;
  };

  void HeartbeatLoop(const std::string& machine);
  void SendHeartbeat(const std::string& machine);
  // Returns the machine's status report, with the next sequence number.
  model::Heartbeat TakeStatusReport(const std::string& machine);
  void ExpireLeases();
  void Execute(const std::string& machine, const model::WorkerCommand& command);
  void StartTask(const std::string& machine, const model::WorkerCommand& command);
  void EndTask(const std::string& machine, const model::TaskId& task, uint64_t attempt,
               model::ExitCause cause);

  EventQueue& events_;
  Random& random_;
  const Options options_;
  const Hooks hooks_;
  std::map<std::string, Worker> workers_;
  int duplicate_starts_ = 0;
  int repeated_starts_ = 0;
};

}  // namespace hallpier::testing_support
