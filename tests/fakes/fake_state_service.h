// A fake in-memory state service that speaks the state service's HTTP protocol on loopback: keys
// with versions, transactions with preconditions, leases, watches and injected faults. It enforces
// no limits and has no failures unless a test configures them. It does not simulate the timing of
// the real service.
//
// Runs in the given scope, on that scope's event loop. Owned by a test.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "async/wait.h"
#include "model/key_value.h"
#include "net/http_server.h"
#include "wire/json.h"

namespace hallpier::testing_support {

class FakeStateService {
 public:
  explicit FakeStateService(async::Scope& scope);
  // Returns false and sets `error` if it cannot listen on the address.
  bool Listen(const std::string& address, std::string* error) {
    return server_.Listen(address, error);
  }
  // Listens on a second address, for a single controller. While it is cut off with CutSecondary(),
  // requests to this address are refused.
  bool ListenSecondary(const std::string& address, std::string* error) {
    return secondary_server_.Listen(address, error);
  }
  void CutSecondary(bool cut) { secondary_cut_ = cut; }
  // Limits on writes from now on; 0 means unlimited.
  struct Limits {
    size_t value_bytes = 0;
    size_t txn_ops = 0;
    double write_rps = 0;
  };
  void SetLimits(Limits limits) { limits_ = limits; }
  int refused() const { return refused_; }  // transactions refused for their size or rate
  // Loses the answers to the next `count` transactions that write a key with this prefix. An empty
  // prefix matches every transaction that writes. The transactions are executed immediately, or
  // only when ExecuteDeferred() is called.
  enum class Execution { kImmediate, kDeferred };
  void LoseAnswers(std::string prefix, Execution execution, int count = 1) {
    lose_prefix_ = std::move(prefix);
    lost_answer_execution_ = execution;
    lose_count_ = count;
  }
  // Number of answers lost so far.
  int lost_answers() const { return lost_answers_; }
  // Executes the transactions deferred by kDeferred. Returns the number that succeeded.
  int ExecuteDeferred();
  // Delays the execution of transactions that write a key with this prefix by `delay_s` seconds.
  void DelayTransactions(std::string prefix, double delay_s) {
    delay_prefix_ = std::move(prefix);
    delay_s_ = delay_s;
  }
  // Executes each successful transaction once more after `delay_s` seconds, as the network does
  // with a late copy.
  void RepeatTransactions(double delay_s) { copy_delay_s_ = delay_s; }
  int copies() const { return copies_; }
  // The keys of the first write of each copy whose preconditions held.
  const std::vector<std::string>& executed_copies() const { return executed_copies_; }
  // Delays the answers of watches by `lag_s` seconds.
  void SetWatchLag(double lag_s) { watch_lag_s_ = lag_s; }
  // Hook that is called after each executed write. `value` is empty if the key was deleted.
  using OnWrite = std::function<void(const std::string& key, const std::string& value)>;
  void SetWriteHook(OnWrite on_write) { on_write_ = std::move(on_write); }
  // Returns the value of a key. Empty if the key does not exist.
  std::string Value(const std::string& key) const;
  // During an outage every request is refused, and no lease expires.
  void SetOutage(bool outage);
  uint64_t writes() const { return revision_; }
  // Number of requests so far, including refused ones.
  int requests() const { return requests_; }

 private:
  struct Entry {
    std::string value;
    uint64_t version = 0;
    uint64_t lease_id = 0;
  };
  struct Lease {
    double ttl_s = 0;
    double expires_at = 0;  // steady time
  };
  async::Task<wire::HttpResponse> Handle(wire::HttpRequest request);
  async::Task<wire::HttpResponse> HandleSecondary(wire::HttpRequest request);
  async::Task<wire::HttpResponse> Follow(std::string target);
  // Answer of a watch with the changes after a revision. `has_events` is false if there are none.
  struct WatchAnswer {
    std::string body;
    bool has_events = false;
  };
  WatchAnswer WatchAnswerAfter(uint64_t from, const std::string& prefix) const;
  wire::HttpResponse Commit(const std::string& body);
  void Apply(const wire::JsonValue& writes);
  async::Task<wire::HttpResponse> AnswerTransaction(std::string body);
  async::Task<> DeliverCopy(std::string body);
  // Returns true if the transaction writes a key with this prefix.
  static bool WritesPrefix(const std::string& body, const std::string& prefix);
  // Returns the error answer if the writes exceed a limit; std::nullopt otherwise.
  std::optional<wire::HttpResponse> CheckLimits(const wire::JsonValue& writes);
  wire::HttpResponse List(const std::string& target) const;
  wire::HttpResponse HandleLease(const wire::HttpRequest& request);
  wire::HttpResponse Grant(const std::string& body);
  void Put(const std::string& key, const std::string& value, uint64_t lease_id);
  void EndLease(uint64_t lease_id);
  async::Task<> ExpireLoop();

  async::Scope& scope_;
  net::HttpServer server_;
  net::HttpServer secondary_server_;
  bool secondary_cut_ = false;
  std::map<std::string, Entry> entries_;
  std::map<uint64_t, Lease> leases_;
  std::vector<model::WatchEvent> changes_;
  uint64_t revision_ = 0;
  uint64_t next_lease_id_ = 0;
  bool outage_ = false;
  int requests_ = 0;
  Limits limits_;
  int refused_ = 0;
  std::string lose_prefix_;
  Execution lost_answer_execution_ = Execution::kImmediate;
  int lose_count_ = 0;
  int lost_answers_ = 0;
  std::vector<std::string> deferred_;
  std::string delay_prefix_;
  double delay_s_ = 0;
  double copy_delay_s_ = 0;
  int copies_ = 0;
  std::vector<std::string> executed_copies_;
  double watch_lag_s_ = 0;
  double write_tokens_ = 0;
  double write_tokens_at_ = 0;
  OnWrite on_write_;
  async::Event changed_;
};

}  // namespace hallpier::testing_support
