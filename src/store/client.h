// Client of the state service: rate-limited calls, each with a timeout.
//
// The controller of each node owns one instance and uses it only on the thread of its event loop.
// Calls are coroutines that belong to the scope passed to the constructor.
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
  kConflict,  // a precondition failed; nothing was written
  kRefused,   // not executed: rate limit exceeded, or the service is not ready
  kUnknown,   // no response: executed, not executed, or still to be executed
  kGone,      // the revision to watch from is too old
  kInvalid,   // malformed according to the service, or the lease has expired
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
    // Limits of the service on requests and written keys per second, shared by all nodes.
    double rps = 0;
    double write_rps = 0;
    // Values to which these limits may be lowered without notice; 0 if they stay the same.
    double lowered_rps = 0;
    double lowered_write_rps = 0;
    int node_count = 1;             // number of nodes that share the limits
    double timeout_s = 1;           // timeout of one call
    size_t max_response_bytes = 0;  // largest accepted response body
  };
  // Sends a request to the service through a peer.
  using Relay = std::function<async::Task<net::RelayResult>(wire::HttpRequest)>;

  Client(async::Scope& scope, Options options);

  // Sets whether this node is the leader. The leader writes more than the other nodes and gets a
  // larger share of the limits.
  void SetLeading(bool leading);
  // Sets whether nodes other than the leader place tasks too. If so, they write nearly as much as
  // the leader.
  void SetOtherNodesPlaceTasks(bool other_nodes_place_tasks);
  // Sets a relay. Requests are then sent through a peer while the service refuses only this node.
  void SetRelay(Relay relay) { relay_ = std::move(relay); }
  // Declares that the service may lower its limits at any moment from now on. The first refusal for
  // exceeding the rate is taken as evidence that it has; the lower limits apply from then on.
  void ExpectLoweredLimits() { may_be_lowered_ = true; }

  async::Task<CallResult<model::KeyValue>> Get(std::string key,
                                               RequestPriority priority = RequestPriority::kNormal);
  // Returns one page of the keys with a prefix, in key order, starting after the key `after`.
  async::Task<CallResult<model::KeyValueList>> List(std::string prefix, std::string after);
  // Returns the revision of the service's last change.
  async::Task<CallResult<uint64_t>> Revision(double timeout_s);

  struct CommitResult {
    uint64_t revision = 0;
    std::vector<std::string> failed;  // for kConflict: keys whose preconditions failed
  };
  // Executes a transaction. It may wait up to `max_wait_s` seconds for the rate limiters. If
  // `max_wait_s` is negative, the limit is that of all other calls: a fraction of the timeout.
  async::Task<CallResult<CommitResult>> Commit(std::vector<model::Precondition> preconditions,
                                               std::vector<model::KeyWrite> writes,
                                               RequestPriority priority = RequestPriority::kNormal,
                                               double max_wait_s = kDefaultMaxWaitS);

  // Grants a lease and returns its id.
  async::Task<CallResult<uint64_t>> GrantLease(double ttl_s);
  // kAny: the call may be relayed through a peer while the service refuses only this node.
  enum class Route { kDirect, kAny };
  async::Task<CallResult<bool>> RenewLease(uint64_t lease_id, Route route);
  // Revokes a lease, which deletes the keys attached to it. Succeeds if the lease no longer exists.
  async::Task<CallResult<bool>> RevokeLease(uint64_t lease_id, Route route = Route::kDirect);

  // Returns the changes of keys with a prefix after `revision`. If there are none, the service
  // responds after `block_s` seconds.
  async::Task<CallResult<model::WatchResponse>> Watch(std::string prefix, uint64_t revision,
                                                      double block_s);

  // True once the service has refused a request that only the lowered limits forbid.
  bool limits_lowered() const { return limits_lowered_; }
  // True while the most recent calls were all refused or got no response.
  bool down() const { return consecutive_failures_ >= kConsecutiveFailuresUntilDown; }
  // The timeout of one request: its response arrives within this time or not at all. List() has a
  // longer timeout, Revision() the one that is passed in, and Watch() adds `block_s`.
  double timeout_s() const { return options_.timeout_s; }
  // Returns the number of requests per second that this node may send.
  double request_rate() const;
  // Executes a request on behalf of a peer that the service refuses. The request is not relayed
  // again. Returns std::nullopt if it was not sent or got no response.
  async::Task<std::optional<wire::HttpResponse>> ExecuteForPeer(wire::HttpRequest request);

 private:
  static constexpr double kDefaultMaxWaitS = -1;
  static constexpr int kConsecutiveFailuresUntilDown = 2;

  struct CallOptions {
    double writes = 0;  // number of keys that the request writes
    RequestPriority priority = RequestPriority::kNormal;
    double timeout_s = 0;
    double max_wait_s = kDefaultMaxWaitS;
    Route route = Route::kDirect;
  };
  CallOptions UrgentCallOptions() const;
  async::Task<std::optional<wire::HttpResponse>> Call(wire::HttpRequest request,
                                                      CallOptions options);
  // Acquires the cost of a call from both rate limiters. Returns the seconds to wait, or a negative
  // number as RateLimiter::Acquire does.
  double AcquireBudget(const CallOptions& options);
  bool MayBeRelayed(const wire::HttpRequest& request, Route route) const;
  // Updates down() from a response, or from its absence, and detects lowered limits.
  void TrackAvailability(const std::optional<wire::HttpResponse>& response);
  void DetectLoweredLimits(const std::optional<wire::HttpResponse>& response);
  void UpdateShare();
  void UpdateRates();
  bool use_lowered_limits() const { return limits_lowered_ && options_.lowered_rps > 0; }

  async::Scope& scope_;
  const Options options_;
  bool leading_ = false;
  bool other_nodes_place_tasks_ = false;
  double share_;  // fraction of all limits that this node may use
  bool may_be_lowered_ = false;
  bool limits_lowered_ = false;
  net::HttpClient http_;
  RateLimiter request_limiter_;
  RateLimiter write_limiter_;
  Relay relay_;
  int consecutive_failures_ = 0;  // calls that were refused or got no response
};

}  // namespace hallpier::store
