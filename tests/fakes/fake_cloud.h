// A fake cloud that speaks the cloud's HTTP protocol on loopback. The machines that it rents run
// immediately, each with a FakeWorker. Counts the task starts on all machines, and the duplicate
// starts: those of a task that was running on another machine at the time.
//
// Runs in the given scope. Owned by a test.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "async/wait.h"
#include "fakes/fake_worker.h"
#include "model/task.h"
#include "net/http_server.h"
#include "wire/json.h"

namespace hallpier::testing_support {

class FakeCloud {
 public:
  struct Options {
    FakeWorker::Options worker;
    int first_port = 0;
    // Ports for machines, used in turn. Far more than the number of machines at any time, so that a
    // port in use is not assigned again.
    int ports = 1000;
  };
  FakeCloud(async::Scope& scope, Options options);
  ~FakeCloud();
  // Returns false and sets `error` if it cannot listen on the address.
  bool Listen(const std::string& address, std::string* error) {
    return server_.Listen(address, error);
  }
  // Number of task starts so far, and of the starts of a task that was running on another machine
  // at the time.
  int starts() const { return starts_; }
  int duplicate_starts() const { return duplicate_starts_; }
  // Returns the number of running tasks of a job, on all machines.
  int Running(const std::string& job) const;
  // Returns the number of running tasks of all jobs whose names begin with `prefix`.
  int RunningWithPrefix(const std::string& prefix) const;
  // Cuts all present machines off from the controllers, or reconnects them.
  void CutMachines(bool cut);
  // All machines lose their tasks and are back at once, each in a new agent epoch.
  void RestartMachines();
  // Number of direct commands that machines have refused because they were cut off.
  int refused_commands() const;
  // Sets a hook that is called before each task start.
  void SetStartHook(std::function<void(const model::TaskId&)> on_start) {
    on_start_ = std::move(on_start);
  }

 private:
  async::Task<wire::HttpResponse> Handle(wire::HttpRequest request);
  static wire::HttpResponse ListMachineTypes();
  wire::HttpResponse ListMachines() const;
  wire::HttpResponse ScaleOut(const wire::JsonValue& request);
  wire::HttpResponse ScaleIn(const wire::JsonValue& request);
  void OnStart(const FakeWorker& worker, const model::TaskId& task);

  async::Scope& scope_;
  const Options options_;
  net::HttpServer server_;
  std::map<std::string, std::unique_ptr<FakeWorker>> machines_;
  std::vector<std::unique_ptr<FakeWorker>> removed_;
  std::map<std::string, std::string> scale_out_responses_;  // by request name
  int next_machine_ = 0;
  int starts_ = 0;
  int duplicate_starts_ = 0;
  std::function<void(const model::TaskId&)> on_start_;
};

}  // namespace hallpier::testing_support
