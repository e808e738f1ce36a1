// The state service's client: budgeted calls, each with a time limit.
#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "model/key_value.h"
#include "net/http_client.h"
#include "store/rate_limiter.h"

namespace hallpier::store {

enum class Status {
  kOk,
  kNotFound,
  kConflict,  // a guard did not hold: nothing was written
  kRefused,   // not executed
  kUnknown,   // no answer: executed, or not, or to be executed later
  kGone,      // the watch's revision is too old
  kInvalid,   // the service calls the request malformed, or the lease ended
};

template <class T>
struct Result {
  Status status = Status::kUnknown;
  T value = {};
  bool ok() const { return status == Status::kOk; }
};

class Client {
 public:
  struct Options {
    std::string endpoint;
    double rps = 0;
    double write_rps = 0;
    // What the service may go down to without notice; 0: nothing is known of that.
    double next_rps = 0;
    double next_write_rps = 0;
    int size = 1;          // nodes that share the limits
    double timeout_s = 1;  // of one call
    size_t max_body = 0;
  };
  // How a request reaches the service when this node is refused: by way of a peer, if set.
  using Relay = std::function<async::Task<net::Relayed>(wire::HttpRequest)>;

  Client(async::Scope& scope, Options options);

  // The leader writes more than the others; each takes its share of what all may use.
  void SetLeading(bool leading);
  // Where others place as well, they write nearly as much as the leader does.
  void SetDivided(bool divided);
  void SetRelay(Relay relay) { relay_ = std::move(relay); }
  // From here on the limits may be lowered at any moment: the first refusal for the rate says that
  // they have been, and what they allow is kept to from then on.
  void ExpectLowered() { may_be_lowered_ = true; }

  async::Task<Result<model::KeyValue>> Get(std::string key, Urgent urgent = Urgent::kNo);
  async::Task<Result<model::KeyValueList>> List(std::string prefix, std::string after);
  // How far the service is: the revision of its last change.
  async::Task<Result<uint64_t>> Revision(double timeout_s);
  // The revision, or with kConflict the keys whose guards did not hold.
  struct CommitResult {
    uint64_t revision = 0;
    std::vector<std::string> failed;
  };
  // `patience_s`: how long it may wait for its budget; negative: for a part of a call's time limit.
  async::Task<Result<CommitResult>> Commit(std::vector<model::Precondition> preconditions,
                                           std::vector<model::KeyWrite> writes,
                                           Urgent urgent = Urgent::kNo, double patience_s = -1);
  async::Task<Result<uint64_t>> Grant(double ttl_s);
  // Whether a call may go by way of a peer while this node alone is refused.
  enum class Route { kDirect, kAny };
  async::Task<Result<bool>> Extend(uint64_t lease_id, Route route);
  async::Task<Result<bool>> End(uint64_t lease_id, Route route = Route::kDirect);
  async::Task<Result<model::WatchResponse>> Follow(std::string prefix, uint64_t revision,
                                                   double block_s);

  // True once the service has refused what only the lower limits forbid.
  bool lowered() const { return lowered_; }
  // True while the newest calls went unanswered or refused.
  bool down() const { return failures_ >= 2; }
  // A call without a wait of its own is answered by then, or never.
  double timeout_s() const { return options_.timeout_s; }
  // Requests a second that this node may send.
  double request_rate() const;
  // Executes a peer's request here, without relaying it any further.
  async::Task<std::optional<wire::HttpResponse>> Direct(wire::HttpRequest request);

 private:
  async::Task<std::optional<wire::HttpResponse>> Call(wire::HttpRequest request, double writes,
                                                      Urgent urgent, double timeout_s,
                                                      double patience_s = -1,
                                                      Route route = Route::kDirect);
  // Counts an answer, or none, for down().
  void Note(const std::optional<wire::HttpResponse>& r);

  // Looks for a refusal that only the lowered limits explain.
  void NoteLimits(const std::optional<wire::HttpResponse>& r);
  void SetShare();
  void SetRates();

  async::Scope& scope_;
  const Options options_;
  bool leading_ = false;
  bool divided_ = false;
  double share_;  // of all limits that is this node's
  bool may_be_lowered_ = false;
  bool lowered_ = false;
  net::HttpClient http_;
  RateLimiter requests_;
  RateLimiter writes_;
  Relay relay_;
  int failures_ = 0;
};

}  // namespace hallpier::store
