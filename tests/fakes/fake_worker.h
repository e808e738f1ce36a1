// A machine's agent on loopback: sends heartbeats to the controllers, carries out commands, and
// runs each task for a set time. Loses its tasks and begins a new agent epoch when its lease ends.
//
// Owned by FakeCloud; runs in a scope of its own below the cloud's, until End().
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
    std::vector<std::string> controllers;  // addresses that heartbeats go to
    std::vector<std::string> nodes;        // the controllers' names, in the same order
    double heartbeat_interval_s = 3;
    double lease_s = 45;
    double run_s = 1;  // of every task
  };
  // Called before a task starts here.
  using OnStart = std::function<void(const FakeWorker& worker, const model::TaskId& task)>;

  FakeWorker(async::Scope& scope, Options options, model::CloudMachine listed, OnStart on_start);

  // False if the machine's endpoint can't be listened on.
  bool Start();
  // The machine is gone, with all that it runs. Its routines unwind later; until then the object
  // must stay.
  void End();
  // The machine as the cloud lists it.
  const model::CloudMachine& listed() const { return listed_; }
  bool Runs(const model::TaskId& task) const;
  // Running tasks of the jobs for which `matches` is true.
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
    std::string cause;  // of its exit
    double ends = 0;    // steady time
  };

  std::string WriteHeartbeat();
  void Execute(const wire::JsonValue& commands);
  void StartTask(const model::TaskId& task, uint64_t attempt);
  // Ends the tasks whose time is over; true if there were any.
  bool EndDueTasks();
  void ExpireLease(double now);
  async::Task<> HeartbeatLoop();
  async::Task<> SendHeartbeat(double now);
  // The controller to turn to after one that did not take the heartbeat.
  size_t NextController(const std::string& leader) const;
  async::Task<wire::HttpResponse> Handle(wire::HttpRequest request);

  const Options options_;
  const model::CloudMachine listed_;
  const OnStart on_start_;
  async::Scope life_;
  net::HttpServer server_;
  net::HttpClient client_;
  uint64_t agent_epoch_ = 1;
  uint64_t sequence_ = 0;
  uint64_t token_ = 0;
  size_t controller_ = 0;  // that the next heartbeat goes to
  double renewed_ = 0;     // steady time of the heartbeat whose answer renewed the lease last
  double next_heartbeat_ = 0;
  std::map<model::TaskId, RunningTask> tasks_;
};

}  // namespace hallpier::testing_support
