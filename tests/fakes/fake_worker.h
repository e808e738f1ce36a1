// A fake agent of a machine, on loopback. It sends heartbeats to the controllers, executes commands
// and runs each task for a fixed time. When its lease expires, it loses its tasks and begins a new
// agent epoch.
//
// Owned by FakeCloud. Runs in a separate scope, a child of the cloud's scope, until End().
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "async/wait.h"
#include "model/cloud.h"
#include "model/ids.h"
#include "model/task.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "wire/json.h"

namespace hallpier::testing_support {

class FakeWorker {
 public:
  struct Options {
    std::vector<std::string> controllers;  // addresses of the controllers that receive heartbeats
    std::vector<std::string> nodes;        // names of the controllers, in the same order
    double heartbeat_interval_s = 3;
    double lease_s = 45;
    double run_s = 1;            // duration of every task
    uint32_t failing_tasks = 0;  // the first attempts of so many tasks of each job fail at once
    // A direct command with a start that was executed arrives again after each of these delays.
    std::vector<double> command_copy_delays_s;
  };
  // Called before a task starts here.
  using OnStart = std::function<void(const FakeWorker& worker, const model::TaskId& task)>;

  FakeWorker(async::Scope& scope, Options options, model::CloudMachine listed, OnStart on_start);

  // Returns false if it cannot listen on the machine's endpoint.
  bool Start();
  // Terminates the machine and its tasks. The coroutines unwind later; the object must live until
  // then.
  void End();
  // Loses all tasks, and begins a new agent epoch.
  void RestartAgent();
  // While the machine is cut off, it sends no heartbeats and refuses all requests.
  void SetCut(bool cut) { cut_ = cut; }
  // Number of direct commands that were refused because the machine was cut off.
  int refused_commands() const { return refused_commands_; }
  // The machine as the cloud lists it.
  const model::CloudMachine& listed() const { return listed_; }
  bool Runs(const model::TaskId& task) const;
  // Returns the number of running tasks of the jobs for which `matches` returns true.
  template <class Matches>
  int CountRunning(Matches matches) const {
    return static_cast<int>(std::count_if(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
      return matches(entry.first.job) && entry.second.phase == model::TaskPhase::kRunning;
    }));
  }

 private:
  struct RunningTask {
    uint64_t attempt = 0;
    model::TaskPhase phase = model::TaskPhase::kRunning;
    std::string cause;   // cause of its exit
    double ends_at = 0;  // steady time
  };

  std::string WriteHeartbeat();
  void Execute(const wire::JsonValue& commands);
  void StartTask(const model::TaskId& task, uint64_t attempt);
  // Finishes the tasks whose run time has elapsed. Returns true if there were any.
  bool FinishDueTasks();
  void ExpireLease(double now);
  async::Task<> HeartbeatLoop();
  async::Task<> SendHeartbeat(double now);
  // Returns the index of the controller to try after one that did not accept the heartbeat.
  size_t NextController(const std::string& leader) const;
  async::Task<wire::HttpResponse> Handle(wire::HttpRequest request);
  wire::HttpResponse ExecuteDirectCommand(const std::string& body);
  // Delivers a direct command again after `delay_s`, as the network does with a late copy.
  async::Task<> DeliverCopy(std::string body, double delay_s);

  const Options options_;
  const model::CloudMachine listed_;
  const OnStart on_start_;
  async::Scope scope_;
  net::HttpServer server_;
  net::HttpClient client_;
  uint64_t agent_epoch_ = 1;
  uint64_t sequence_ = 0;
  uint64_t token_ = 0;
  size_t controller_ = 0;        // index of the controller that receives the next heartbeat
  double lease_renewed_at_ = 0;  // steady time at which the last answered heartbeat was sent
  double next_heartbeat_at_ = 0;
  std::map<model::TaskId, RunningTask> tasks_;
  bool cut_ = false;
  int refused_commands_ = 0;
};

}  // namespace hallpier::testing_support
