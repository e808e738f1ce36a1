#include "store/client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "wire/state_codec.h"
#include "wire/url_query.h"

namespace hallpier::store {
namespace {

// Fraction of its share that a node uses. The rest is a margin, because the service measures rates
// by its own clock.
constexpr double kShareUsed = 0.9;
// Each rate limiter holds the tokens of kBurstS seconds and reserves a fraction for urgent
// requests.
constexpr double kBurstS = 1;
constexpr double kUrgentReserveRatio = 0.25;
// Fraction of the limits that the leader gets. The rest is for submissions and cancellations that
// the other nodes write.
constexpr double kLeaderShare = 0.7;
// The same while other nodes place tasks too.
constexpr double kLeaderShareWhenOthersPlace = 0.5;
// Fraction of a call's timeout that the call may wait for the rate limiters.
constexpr double kMaxWaitRatio = 0.8;
constexpr size_t kMaxIdleConnections = 16;
// Reading a full page takes longer on a small machine than reading a single value.
constexpr double kListTimeoutRatio = 5;
constexpr int kMsPerS = 1000;

constexpr int kHttpOk = 200;
constexpr int kHttpNoContent = 204;
constexpr int kHttpInvalid = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpGone = 410;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpUnavailable = 503;

constexpr std::string_view kValuePath = "/store/";
constexpr std::string_view kTransactionPath = "/txn";
// No key has this prefix, so listing it is cheap; the response still contains the revision.
constexpr std::string_view kUnusedPrefix = "hallpier/nothing/";

bool IsRefusal(const wire::HttpResponse& response) {
  return response.status == kHttpUnavailable || response.status == kHttpTooManyRequests;
}

bool IsIdempotent(const wire::HttpRequest& request) { return request.method == "GET"; }

Status StatusOfFailure(const std::optional<wire::HttpResponse>& response) {
  if (!response) return Status::kUnknown;
  switch (response->status) {
    case kHttpNotFound:
      return Status::kNotFound;
    case kHttpConflict:
      return Status::kConflict;
    case kHttpGone:
      return Status::kGone;
    case kHttpTooManyRequests:
    case kHttpUnavailable:
      return Status::kRefused;
    case kHttpInvalid:
      return Status::kInvalid;
    default:
      return Status::kUnknown;
  }
}

template <class T>
CallResult<T> Failed(const std::optional<wire::HttpResponse>& response) {
  return {StatusOfFailure(response), {}};
}

// A response that can't be decoded does not show whether the request was executed.
template <class T>
CallResult<T> OkIfDecoded(std::optional<T> value) {
  if (!value) return {Status::kUnknown, {}};
  return {Status::kOk, std::move(*value)};
}

bool IsOk(const std::optional<wire::HttpResponse>& response) {
  return response && response->status == kHttpOk;
}

}  // namespace

Client::Client(async::Scope& scope, Options options)
    : scope_(scope),
      options_(std::move(options)),
      share_(kShareUsed / options_.node_count),
      http_(kMaxIdleConnections, options_.max_response_bytes),
      request_limiter_(options_.rps * share_, kBurstS, kUrgentReserveRatio),
      write_limiter_(options_.write_rps * share_, kBurstS, kUrgentReserveRatio) {}

void Client::SetLeading(bool leading) {
  leading_ = leading;
  UpdateShare();
}

void Client::SetOtherNodesPlaceTasks(bool other_nodes_place_tasks) {
  if (other_nodes_place_tasks == other_nodes_place_tasks_) return;
  other_nodes_place_tasks_ = other_nodes_place_tasks;
  UpdateShare();
}

void Client::UpdateShare() {
  if (options_.node_count <= 1) return;
  const double leader_share = other_nodes_place_tasks_ ? kLeaderShareWhenOthersPlace : kLeaderShare;
  share_ = kShareUsed * (leading_ ? leader_share : (1 - leader_share) / (options_.node_count - 1));
  UpdateRates();
}

double Client::request_rate() const {
  return (use_lowered_limits() ? options_.lowered_rps : options_.rps) * share_;
}

void Client::UpdateRates() {
  const double write_rps = use_lowered_limits() ? options_.lowered_write_rps : options_.write_rps;
  request_limiter_.SetRate(request_rate(), kBurstS);
  write_limiter_.SetRate(write_rps * share_, kBurstS);
}

void Client::DetectLoweredLimits(const std::optional<wire::HttpResponse>& response) {
  if (!response || response->status != kHttpTooManyRequests) return;
  if (!may_be_lowered_ || limits_lowered_ || options_.lowered_rps <= 0) return;
  spdlog::info("state service: limits lowered requests_per_s={} writes_per_s={}",
               options_.lowered_rps, options_.lowered_write_rps);
  limits_lowered_ = true;
  UpdateRates();
}

void Client::TrackAvailability(const std::optional<wire::HttpResponse>& response) {
  DetectLoweredLimits(response);
  if (response && !IsRefusal(*response)) {
    if (down()) spdlog::info("state service: available again failures={}", consecutive_failures_);
    consecutive_failures_ = 0;
    return;
  }
  if (++consecutive_failures_ == kConsecutiveFailuresUntilDown) {
    spdlog::warn("state service: unavailable failures={}", consecutive_failures_);
  }
}

async::Task<std::optional<wire::HttpResponse>> Client::ExecuteForPeer(wire::HttpRequest request) {
  const double writes = request.target == kTransactionPath ? 1 : 0;
  const double now = scope_.loop().Now();
  const double request_wait = request_limiter_.Acquire(now, 1, RequestPriority::kNormal, 0);
  const double write_wait = write_limiter_.Acquire(now, writes, RequestPriority::kNormal, 0);
  if (request_wait < 0 || write_wait < 0) co_return std::nullopt;
  const bool idempotent = IsIdempotent(request);
  auto response = co_await http_.Call(scope_, options_.endpoint, std::move(request),
                                      options_.timeout_s, idempotent);
  TrackAvailability(response);
  co_return response;
}

double Client::AcquireBudget(const CallOptions& options) {
  const bool default_wait = options.max_wait_s < 0;
  const double max_wait_s = default_wait ? options_.timeout_s * kMaxWaitRatio : options.max_wait_s;
  const double now = scope_.loop().Now();
  const double request_wait = request_limiter_.Acquire(now, 1, options.priority, max_wait_s);
  if (request_wait < 0 || options.writes <= 0) return request_wait;
  const double write_wait =
      write_limiter_.Acquire(now, options.writes, options.priority, max_wait_s);
  return write_wait < 0 ? write_wait : std::max(request_wait, write_wait);
}

bool Client::MayBeRelayed(const wire::HttpRequest& request, Route route) const {
  // Reads of single values and transactions may always be relayed. This is safe even for a
  // transaction that got no response here: its preconditions cover the keys that it writes, so that
  // at most one copy of it can ever be executed.
  if (!relay_) return false;
  return route == Route::kAny || request.target == kTransactionPath ||
         request.target.starts_with(kValuePath);
}

async::Task<std::optional<wire::HttpResponse>> Client::Call(wire::HttpRequest request,
                                                            CallOptions options) {
  const double wait = AcquireBudget(options);
  if (wait < 0) {
    spdlog::debug("state service: rate limit exceeded method={} target={}", request.method,
                  request.target);
    co_return wire::HttpResponse{.status = kHttpTooManyRequests, .body = {}};
  }
  if (wait > 0) {
    async::Sleep pause(scope_, wait);
    co_await pause;
  }
  const bool idempotent = IsIdempotent(request);
  const bool relayable = MayBeRelayed(request, options.route);
  // True if a copy of the request was sent and got no response. That copy may still be executed,
  // and the refusal of another copy does not show that it was not.
  bool copy_pending = false;
  auto conclusive = [&](const wire::HttpResponse& response) {
    return idempotent || !copy_pending || !IsRefusal(response);
  };
  if (relayable && down()) {
    net::RelayResult relayed = co_await relay_(request);
    if (relayed.response) co_return std::move(relayed.response);
    copy_pending = relayed.sent;
  }
  std::optional<wire::HttpResponse> response =
      co_await http_.Call(scope_, options_.endpoint, request, options.timeout_s, idempotent);
  TrackAvailability(response);
  if (relayable && down()) {
    copy_pending = copy_pending || !response;
    net::RelayResult relayed = co_await relay_(std::move(request));
    if (relayed.response && conclusive(*relayed.response)) co_return std::move(relayed.response);
    copy_pending = copy_pending || (relayed.sent && !relayed.response);
  }
  if (response && !conclusive(*response)) response.reset();
  co_return response;
}

Client::CallOptions Client::UrgentCallOptions() const {
  CallOptions options;
  options.priority = RequestPriority::kUrgent;
  options.timeout_s = options_.timeout_s;
  return options;
}

async::Task<CallResult<model::KeyValue>> Client::Get(std::string key, RequestPriority priority) {
  wire::HttpRequest request{.method = "GET", .target = std::string(kValuePath) + key, .body = {}};
  CallOptions options;
  options.priority = priority;
  options.timeout_s = options_.timeout_s;
  auto response = co_await Call(std::move(request), options);
  if (!IsOk(response)) co_return Failed<model::KeyValue>(response);
  co_return OkIfDecoded(wire::ReadKeyValue(response->body));
}

async::Task<CallResult<model::KeyValueList>> Client::List(std::string prefix, std::string after) {
  std::string target = "/store?starts=" + wire::EscapeQuery(prefix) + "&limit=1000";
  if (!after.empty()) target += "&from=" + wire::EscapeQuery(after);
  wire::HttpRequest request{.method = "GET", .target = std::move(target), .body = {}};
  CallOptions options = UrgentCallOptions();
  options.timeout_s = options_.timeout_s * kListTimeoutRatio;
  auto response = co_await Call(std::move(request), options);
  if (!IsOk(response)) co_return Failed<model::KeyValueList>(response);
  co_return OkIfDecoded(wire::ReadKeyValueList(response->body));
}

async::Task<CallResult<uint64_t>> Client::Revision(double timeout_s) {
  wire::HttpRequest request{
      .method = "GET",
      .target = "/store?starts=" + wire::EscapeQuery(kUnusedPrefix) + "&limit=1",
      .body = {}};
  CallOptions options;
  options.timeout_s = timeout_s;
  auto response = co_await Call(std::move(request), options);
  if (!IsOk(response)) co_return Failed<uint64_t>(response);
  co_return OkIfDecoded(wire::ReadRevision(response->body));
}

async::Task<CallResult<Client::CommitResult>> Client::Commit(
    std::vector<model::Precondition> preconditions, std::vector<model::KeyWrite> writes,
    RequestPriority priority, double max_wait_s) {
  wire::HttpRequest request{.method = "POST",
                            .target = std::string(kTransactionPath),
                            .body = wire::WriteTransaction(preconditions, writes)};
  CallOptions options;
  options.writes = static_cast<double>(writes.size());
  options.priority = priority;
  options.timeout_s = options_.timeout_s;
  options.max_wait_s = max_wait_s;
  auto response = co_await Call(std::move(request), options);
  if (response && response->status == kHttpConflict) {
    co_return CallResult<CommitResult>{Status::kConflict,
                                       {0, wire::ReadFailedPreconditions(response->body)}};
  }
  if (!IsOk(response)) co_return Failed<CommitResult>(response);
  auto revision = wire::ReadRevision(response->body);
  if (!revision) co_return CallResult<CommitResult>{Status::kUnknown, {}};
  co_return CallResult<CommitResult>{Status::kOk, {*revision, {}}};
}

async::Task<CallResult<uint64_t>> Client::GrantLease(double ttl_s) {
  wire::HttpRequest request{
      .method = "POST", .target = "/holds", .body = wire::WriteLeaseRequest(ttl_s)};
  auto response = co_await Call(std::move(request), UrgentCallOptions());
  if (!IsOk(response)) co_return Failed<uint64_t>(response);
  co_return OkIfDecoded(wire::ReadLeaseId(response->body));
}

async::Task<CallResult<bool>> Client::RenewLease(uint64_t lease_id, Route route) {
  wire::HttpRequest request{
      .method = "POST", .target = "/holds/" + std::to_string(lease_id) + "/extend", .body = "{}"};
  CallOptions options = UrgentCallOptions();
  options.route = route;
  auto response = co_await Call(std::move(request), options);
  if (!IsOk(response)) co_return Failed<bool>(response);
  co_return CallResult<bool>{Status::kOk, true};
}

async::Task<CallResult<bool>> Client::RevokeLease(uint64_t lease_id, Route route) {
  wire::HttpRequest request{
      .method = "DELETE", .target = "/holds/" + std::to_string(lease_id), .body = {}};
  CallOptions options = UrgentCallOptions();
  options.route = route;
  auto response = co_await Call(std::move(request), options);
  const bool ended =
      response && (response->status == kHttpOk || response->status == kHttpNoContent ||
                   response->status == kHttpNotFound);
  if (!ended) co_return Failed<bool>(response);
  co_return CallResult<bool>{Status::kOk, true};
}

async::Task<CallResult<model::WatchResponse>> Client::Watch(std::string prefix, uint64_t revision,
                                                            double block_s) {
  const int block_ms = static_cast<int>(block_s * kMsPerS);
  wire::HttpRequest request{.method = "GET",
                            .target = "/follow?starts=" + wire::EscapeQuery(prefix) +
                                      "&from=" + std::to_string(revision) +
                                      "&blockMs=" + std::to_string(block_ms),
                            .body = {}};
  CallOptions options = UrgentCallOptions();
  options.timeout_s = block_s + options_.timeout_s;
  auto response = co_await Call(std::move(request), options);
  if (!IsOk(response)) co_return Failed<model::WatchResponse>(response);
  co_return OkIfDecoded(wire::ReadWatchResponse(response->body));
}

}  // namespace hallpier::store
