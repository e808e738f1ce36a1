// A cloud on loopback, by its protocol: rents machines that are up at once, each with a FakeWorker.
// Counts the starts of tasks over all machines, and those of a task that ran elsewhere at the time.
//
// Runs in the scope that it is given; a test owns it.
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
    // Of machines, used in turn: far more than there ever are machines at a time.
    int ports = 1000;
  };
  FakeCloud(async::Scope& scope, Options options);
  ~FakeCloud();
  // False, with a reason, if the address can't be listened on.
  bool Listen(const std::string& address, std::string* error) {
    return server_.Listen(address, error);
  }
  // Starts of tasks so far, and those of a task that was running on another machine at the time.
  int starts() const { return starts_; }
  int duplicate_starts() const { return started_twice_; }
  // Tasks of a job that run now, on any machine.
  int Running(const std::string& job) const;
  // Tasks that run now, of all jobs whose names begin with this.
  int RunningWithPrefix(const std::string& prefix) const;
  // Called before every start of a task.
  void WatchStarts(std::function<void(const model::TaskId&)> on_start) {
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
  std::vector<std::unique_ptr<FakeWorker>> gone_;
  std::map<std::string, std::string> answers_;  // by request name
  int next_ = 0;
  int starts_ = 0;
  int started_twice_ = 0;
  std::function<void(const model::TaskId&)> on_start_;
};

}  // namespace hallpier::testing_support
