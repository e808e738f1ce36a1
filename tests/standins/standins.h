// Stand-ins for the outside systems, by protocol: a state service, a cloud and its workers. They
// serve the tests and a first try by hand; they are no simulation of real machines.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "model/key_value.h"
#include "model/task.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "wire/json.h"

namespace hallpier::standins {

// Keys, stamps, leases and watches in memory.
class State {
 public:
  explicit State(async::Scope& scope);
  bool Listen(const std::string& address, std::string* error) {
    return server_.Listen(address, error);
  }
  // A second way in, for one controller alone, that Cut() closes and opens.
  bool ListenApart(const std::string& address, std::string* error) {
    return apart_.Listen(address, error);
  }
  void Cut(bool on) { cut_ = on; }
  // What it takes from now on; 0: anything.
  struct Limits {
    size_t value_bytes = 0;
    size_t txn_ops = 0;
    double write_rps = 0;
  };
  void SetLimits(Limits limits) { limits_ = limits; }
  int refused() const { return refused_; }  // for their size or rate
  // Of the next transactions that write a key with this prefix no answer comes: carried out at
  // once, or only when CarryOutLate() says so. Empty: none.
  enum class Lost { kAtOnce, kLate };
  void LoseAnswers(std::string prefix, Lost lost, int count = 1) {
    lose_prefix_ = std::move(prefix);
    lost_ = lost;
    lose_count_ = count;
  }
  // How many answers were lost so far.
  int lost() const { return lost_so_far_; }
  // Carries out what was held back, and says how much of it had an effect.
  int CarryOutLate();
  // Transactions that write a key with this prefix are carried out so much after they came.
  void DelayTxns(std::string prefix, double s) {
    delay_prefix_ = std::move(prefix);
    delay_s_ = s;
  }
  // Watches tell of changes so much later.
  void SetWatchLag(double s) { watch_lag_s_ = s; }
  // Told of every write that was carried out; an empty value: a drop.
  using OnWrite = std::function<void(const std::string& key, const std::string& value)>;
  void Watch(OnWrite on_write) { on_write_ = std::move(on_write); }
  // The value of a key; empty: there is none.
  std::string Value(const std::string& key) const;
  // With an outage every request is refused, and no lease ends.
  void SetOutage(bool on);
  uint64_t writes() const { return revision_; }
  // Requests of any kind so far, refused ones included.
  int requests() const { return requests_; }

 private:
  struct Key {
    std::string value;
    uint64_t version = 0;
    uint64_t lease_id = 0;
  };
  struct Hold {
    double ttl_s = 0;
    double until = 0;
  };
  async::Task<wire::HttpResponse> Handle(wire::HttpRequest request);
  async::Task<wire::HttpResponse> HandleApart(wire::HttpRequest request);
  async::Task<wire::HttpResponse> Follow(std::string target);
  wire::HttpResponse Commit(const std::string& body);
  async::Task<wire::HttpResponse> AnswerTxn(std::string body);
  // Whether a transaction writes a key with this prefix.
  static bool Writes(const std::string& body, const std::string& prefix);
  // Nothing if the limits allow it.
  std::optional<wire::HttpResponse> Refuse(const wire::JsonValue& writes);
  wire::HttpResponse List(const std::string& target) const;
  wire::HttpResponse Holds(const wire::HttpRequest& request);
  void Put(const std::string& key, const std::string& value, uint64_t lease_id);
  void EndHold(uint64_t lease_id);
  async::Task<> ExpireLoop();

  async::Scope& scope_;
  net::HttpServer server_;
  net::HttpServer apart_;
  bool cut_ = false;
  std::map<std::string, Key> keys_;
  std::map<uint64_t, Hold> holds_;
  std::vector<model::WatchEvent> changes_;
  uint64_t revision_ = 0;
  uint64_t next_lease_id_ = 0;
  bool outage_ = false;
  int requests_ = 0;
  Limits limits_;
  int refused_ = 0;
  std::string lose_prefix_;
  Lost lost_ = Lost::kAtOnce;
  int lose_count_ = 0;
  int lost_so_far_ = 0;
  std::vector<std::string> late_;
  std::string delay_prefix_;
  double delay_s_ = 0;
  double watch_lag_s_ = 0;
  double write_level_ = 0;
  double write_at_ = 0;
  OnWrite on_write_;
  async::Event changed_;
};

// Rents machines that are up at once, each with a worker that runs tasks by the clock.
class Cloud {
 public:
  struct Options {
    std::vector<std::string> controllers;  // addresses that workers report to
    std::vector<std::string> nodes;        // their names, in the same order
    double heartbeat_interval_s = 3;
    double lease_s = 45;
    double run_s = 1;  // of every task
    int first_port = 0;
    // Of machines, used in turn: far more than there ever are machines at a time.
    int ports = 1000;
  };
  Cloud(async::Scope& scope, Options options);
  ~Cloud();
  bool Listen(const std::string& address, std::string* error) {
    return server_.Listen(address, error);
  }
  // Starts of tasks so far, and those of a task that was on another machine at the time.
  int starts() const { return starts_; }
  int started_twice() const { return started_twice_; }
  // Tasks of a job that run now, wherever.
  int Running(const std::string& job) const;
  // Tasks of all jobs whose names begin so, that run now.
  int RunningOf(const std::string& prefix) const;
  // Told of every start of a task.
  void WatchStarts(std::function<void(const model::TaskId&)> f) { on_start_ = std::move(f); }

 private:
  class Worker;
  async::Task<wire::HttpResponse> Handle(wire::HttpRequest request);
  void OnStart(const Worker* where, const model::TaskId& task);

  async::Scope& scope_;
  const Options options_;
  net::HttpServer server_;
  std::map<std::string, std::unique_ptr<Worker>> machines_;
  std::vector<std::unique_ptr<Worker>> gone_;
  std::map<std::string, std::string> answers_;  // by request name
  int next_ = 0;
  int starts_ = 0;
  int started_twice_ = 0;
  std::function<void(const model::TaskId&)> on_start_;
};

}  // namespace hallpier::standins
