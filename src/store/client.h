// The client of the state service: rate-limited calls, each with a time limit.
//
// One per node, owned by the controller; used on the thread of its event loop only. Its calls are
// coroutines that belong to the scope given at construction.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "async/wait.h"
#include "model/key_value.h"
#include "net/http_client.h"
#include "store/rate_limiter.h"

namespace hallpier::store {

enum class Status {
  kOk,
  kNotFound,
  kConflict,  // a precondition did not hold: nothing was written
  kRefused,   // not executed: over the rate, or the service is not ready
  kUnknown,   // no answer: executed, or not, or to be executed later
  kGone,      // the watch's revision is too old
  kInvalid,   // the service calls the request malformed, or the lease has expired
};

template <class T>
struct CallResult {
  Status status = Status::kUnknown;
  T value = {};
  bool ok() const { return status == Status::kOk; }
};

class Client {
 public:
  struct Options {
    std::string endpoint;
    // Requests, and written keys, a second that the service allows for all nodes together.
    double rps = 0;
    double write_rps = 0;
    // What these limits may be lowered to without notice; 0: they stay.
    double lowered_rps = 0;
    double lowered_write_rps = 0;
    int node_count = 1;             // nodes that share the limits
    double timeout_s = 1;           // of one call
    size_t max_response_bytes = 0;  // bytes of an answer
  };
  // Sends a request to the service by way of a peer.
  using Relay = std::function<async::Task<net::Relayed>(wire::HttpRequest)>;

  Client(async::Scope& scope, Options options);

  // Whether this node leads: the leader writes more than the others and gets a larger share.
  void SetLeading(bool leading);
  // Whether other nodes place tasks as well: then they write nearly as much as the leader.
  void SetOtherNodesPlaceTasks(bool others_place);
  // With a relay, requests go by way of a peer while the service refuses this node alone.
  void SetRelay(Relay relay) { relay_ = std::move(relay); }
  // From here on the limits may be lowered at any moment. The first refusal for the rate is taken
  // as the sign that they have been, and the lower ones are kept to from then on.
  void ExpectLoweredLimits() { may_be_lowered_ = true; }

  async::Task<CallResult<model::KeyValue>> Get(std::string key,
                                               RequestPriority priority = RequestPriority::kNormal);
  // One page of the keys with a prefix, in their order, beginning behind `after`.
  async::Task<CallResult<model::KeyValueList>> List(std::string prefix, std::string after);
  // The revision of the service's last change.
  async::Task<CallResult<uint64_t>> Revision(double timeout_s);

  struct CommitResult {
    uint64_t revision = 0;
    std::vector<std::string> failed;  // kConflict: keys whose preconditions did not hold
  };
  // Executes a transaction. `max_wait_s`: how long it may wait for the rate limiter; negative: for
  // the part of the time limit of a call that all other calls may wait.
  async::Task<CallResult<CommitResult>> Commit(std::vector<model::Precondition> preconditions,
                                               std::vector<model::KeyWrite> writes,
                                               RequestPriority priority = RequestPriority::kNormal,
                                               double max_wait_s = kDefaultMaxWait);

  // Grants a lease and returns its id.
  async::Task<CallResult<uint64_t>> GrantLease(double ttl_s);
  // Whether a call may go by way of a peer while the service refuses this node alone.
  enum class Route { kDirect, kAny };
  async::Task<CallResult<bool>> RenewLease(uint64_t lease_id, Route route);
  // Ends a lease, and drops the keys attached to it. A lease that is gone already counts as ended.
  async::Task<CallResult<bool>> RevokeLease(uint64_t lease_id, Route route = Route::kDirect);

  // Changes of keys with a prefix after `revision`. Without any, the service answers after
  // `block_s` seconds.
  async::Task<CallResult<model::WatchResponse>> Watch(std::string prefix, uint64_t revision,
                                                      double block_s);

  // True once the service has refused what only the lowered limits forbid.
  bool limits_lowered() const { return limits_lowered_; }
  // True while the newest calls were refused or got no answer.
  bool down() const { return failures_ >= kFailuresUntilDown; }
  // A call that does not wait at the service is answered within this time, or never.
  double timeout_s() const { return options_.timeout_s; }
  // Requests a second that this node may send.
  double request_rate() const;
  // Executes a request of a peer that the service refuses. It is never relayed any further.
  // Nothing: not sent, or no answer.
  async::Task<std::optional<wire::HttpResponse>> ExecuteForPeer(wire::HttpRequest request);

 private:
  static constexpr double kDefaultMaxWait = -1;
  static constexpr int kFailuresUntilDown = 2;

  struct CallOptions {
    double writes = 0;  // keys that the request writes
    RequestPriority priority = RequestPriority::kNormal;
    double timeout_s = 0;
    double max_wait_s = kDefaultMaxWait;
    Route route = Route::kDirect;
  };
  CallOptions UrgentCall() const;
  async::Task<std::optional<wire::HttpResponse>> Call(wire::HttpRequest request,
                                                      CallOptions options);
  // Takes what a call costs from both rate limiters; see RateLimiter::Acquire.
  double AcquireBudget(const CallOptions& options);
  bool MayBeRelayed(const wire::HttpRequest& request, Route route) const;
  // Counts an answer, or none, for down(), and looks for lowered limits.
  void TrackAvailability(const std::optional<wire::HttpResponse>& response);
  void DetectLoweredLimits(const std::optional<wire::HttpResponse>& response);
  void UpdateShare();
  void UpdateRates();
  bool use_lowered_limits() const { return limits_lowered_ && options_.lowered_rps > 0; }

  async::Scope& scope_;
  const Options options_;
  bool leading_ = false;
  bool others_place_ = false;
  double share_;  // of all limits that is this node's
  bool may_be_lowered_ = false;
  bool limits_lowered_ = false;
  net::HttpClient http_;
  RateLimiter request_limiter_;
  RateLimiter write_limiter_;
  Relay relay_;
  int failures_ = 0;  // since the last answer
};

}  // namespace hallpier::store
