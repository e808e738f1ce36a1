// A state service in memory, spoken to by its protocol on loopback: keys with versions,
// transactions with preconditions, leases and watches, and the faults that tests ask for. It keeps
// no limits and fails in no way unless it is told to; it is no simulation of the real service's
// timing.
//
// Runs in the scope that it is given, on that scope's loop; a test owns it.
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
  // False, with a reason, if the address can't be listened on.
  bool Listen(const std::string& address, std::string* error) {
    return server_.Listen(address, error);
  }
  // A second address, for one controller alone, that Cut() closes and opens.
  bool ListenSecondary(const std::string& address, std::string* error) {
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
  // The next `count` transactions that write a key with this prefix get no answer: they are carried
  // out at once, or only when ExecuteDeferred() is called. An empty prefix: none.
  enum class Lost { kAtOnce, kLate };
  void LoseAnswers(std::string prefix, Lost lost, int count = 1) {
    lose_prefix_ = std::move(prefix);
    lost_ = lost;
    lose_count_ = count;
  }
  // How many answers were lost so far.
  int lost() const { return lost_so_far_; }
  // Carries out what kLate has kept back; how many of these transactions had an effect.
  int ExecuteDeferred();
  // Transactions that write a key with this prefix are carried out `delay_s` seconds after they
  // came.
  void DelayTransactions(std::string prefix, double delay_s) {
    delay_prefix_ = std::move(prefix);
    delay_s_ = delay_s;
  }
  // Watches answer this many seconds later.
  void SetWatchLag(double lag_s) { watch_lag_s_ = lag_s; }
  // Called with every write that was carried out; an empty value: the key was dropped.
  using OnWrite = std::function<void(const std::string& key, const std::string& value)>;
  void Watch(OnWrite on_write) { on_write_ = std::move(on_write); }
  // The value of a key; empty: there is none.
  std::string Value(const std::string& key) const;
  // During an outage every request is refused, and no lease ends.
  void SetOutage(bool on);
  uint64_t writes() const { return revision_; }
  // Requests of any kind so far, refused ones included.
  int requests() const { return requests_; }

 private:
  struct Entry {
    std::string value;
    uint64_t version = 0;
    uint64_t lease_id = 0;
  };
  struct Lease {
    double ttl_s = 0;
    double until = 0;  // steady time
  };
  async::Task<wire::HttpResponse> Handle(wire::HttpRequest request);
  async::Task<wire::HttpResponse> HandleApart(wire::HttpRequest request);
  async::Task<wire::HttpResponse> Follow(std::string target);
  // The watch's answer for changes after `from`; `any`: it names some.
  struct Changes {
    std::string body;
    bool any = false;
  };
  Changes ChangesAfter(uint64_t from, const std::string& prefix) const;
  wire::HttpResponse Commit(const std::string& body);
  void Apply(const wire::JsonValue& writes);
  async::Task<wire::HttpResponse> AnswerTransaction(std::string body);
  // Whether a transaction writes a key with this prefix.
  static bool Writes(const std::string& body, const std::string& prefix);
  // The refusal; nothing if the limits allow the writes.
  std::optional<wire::HttpResponse> Refuse(const wire::JsonValue& writes);
  wire::HttpResponse List(const std::string& target) const;
  wire::HttpResponse HandleLease(const wire::HttpRequest& request);
  wire::HttpResponse Grant(const std::string& body);
  void Put(const std::string& key, const std::string& value, uint64_t lease_id);
  void EndLease(uint64_t lease_id);
  async::Task<> ExpireLoop();

  async::Scope& scope_;
  net::HttpServer server_;
  net::HttpServer apart_;
  bool cut_ = false;
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
  Lost lost_ = Execution::kImmediate;
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

}  // namespace hallpier::testing_support
