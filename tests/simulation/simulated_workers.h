// The machines of a simulation: each sends heartbeats to the leader, does what it is told, runs
// tasks for a while and loses them when its lease ends. What runs here is the truth that the
// records are compared with.
//
// Owned by a cluster, which delivers heartbeats and answers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
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
    double run_s = 4;        // of a task, on average
    double delay_s = 0.005;  // between a change on a machine and its heartbeat
    double heartbeat_interval_s = 2;
    double lease_s = 12;
  };
  struct Hooks {
    // Whether there is a leader that heartbeats could go to.
    std::function<bool()> has_leader;
    // A heartbeat goes out now.
    std::function<void(const model::Heartbeat& heartbeat)> send;
    // Processors of a task that count as used; others are none.
    std::function<double(const model::TaskId& task)> cpus_of;
    // A task has started. It runs already.
    std::function<void(const std::string& machine, const model::WorkerCommand& command)> on_start;
  };
  SimulatedWorkers(EventQueue& events, Random& random, Options options, Hooks hooks);

  // Adds a machine, whose first heartbeat comes within a heartbeat interval.
  void Add(const std::string& machine);
  std::vector<std::string> Names() const;
  // A machine that is cut off goes on with its tasks, and nobody hears it.
  void Cut(const std::string& machine, bool cut) { workers_.at(machine).cut = cut; }
  // The leader has something to tell a machine: its next heartbeat comes at once.
  void RequestHeartbeat(const std::string& machine);
  // The answer to a heartbeat that was sent at `sent` arrives.
  void OnAnswer(const model::Heartbeat& heartbeat, model::FencingToken token,
                const std::vector<model::WorkerCommand>& commands, double sent);

  // Processors that count as used by running tasks.
  double UsedCpus();
  // The most processors that are free on one machine of `machine_cpus`.
  double MostFreeCpus(double machine_cpus) const;
  // Starts of a task that ran somewhere at the time.
  int duplicate_starts() const { return started_twice_; }

 private:
  struct Run {
    uint64_t attempt = 0;
    double cpus = 0;
    bool ended = false;
    model::ExitCause cause = model::ExitCause::kNone;
  };
  struct Worker {
    uint64_t agent_epoch = 1;
    uint64_t sequence = 0;
    model::FencingToken token;
    double answered_at = 0;  // when the heartbeat was sent whose answer came last
    std::map<model::TaskId, Run> tasks;
    bool heartbeat_requested = false;
    bool cut = false;
  };

  void HeartbeatLoop(const std::string& machine);
  void SendHeartbeat(const std::string& machine);
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
  int started_twice_ = 0;
};

}  // namespace hallpier::testing_support
