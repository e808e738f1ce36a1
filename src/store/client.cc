#include "store/client.h"

#include <spdlog/spdlog.h>

#include "wire/state_codec.h"
#include "wire/url_query.h"

namespace hallpier::store {
namespace {

// A node of several leaves this much of its share unused: the others' clocks are not ours.
constexpr double kShareUsed = 0.9;
constexpr double kReserve = 0.25;
// The leader's part of all writes; the rest is for the others' submissions and cancellations.
constexpr double kLeaderShare = 0.7;
// The same while other nodes place tasks as well.
constexpr double kDividedLeaderShare = 0.5;
// Requests wait for their budget no longer than this part of a call's time limit.
constexpr double kQueueRatio = 0.8;

constexpr std::string_view kGet = "/store/";
// No key begins with this: a list of it costs nothing and still names the revision.
constexpr std::string_view kNothing = "hallpier/nothing/";

template <class T>
Result<T> Failed(const std::optional<wire::HttpResponse>& r) {
  if (!r) return {Status::kUnknown};
  switch (r->status) {
    case 404:
      return {Status::kNotFound};
    case 409:
      return {Status::kConflict};
    case 410:
      return {Status::kGone};
    case 429:
    case 503:
      return {Status::kRefused};
    case 400:
      return {Status::kInvalid};
    default:
      return {Status::kUnknown};
  }
}

template <class T>
Result<T> Made(std::optional<T> value) {
  if (!value) return {Status::kUnknown};
  return {Status::kOk, std::move(*value)};
}

}  // namespace

Client::Client(async::Scope& scope, Options options)
    : scope_(scope),
      options_(std::move(options)),
      share_(kShareUsed / options_.size),
      http_(16, options_.max_body),
      requests_(options_.rps * share_, 1.0, kReserve),
      writes_(options_.write_rps * share_, 1.0, kReserve) {}

void Client::SetLeading(bool leading) {
  leading_ = leading;
  SetShare();
}

void Client::SetDivided(bool divided) {
  if (divided == divided_) return;
  divided_ = divided;
  SetShare();
}

void Client::SetShare() {
  if (options_.size <= 1) return;
  const double leaders = divided_ ? kDividedLeaderShare : kLeaderShare;
  share_ = kShareUsed * (leading_ ? leaders : (1 - leaders) / (options_.size - 1));
  SetRates();
}

double Client::request_rate() const {
  const bool lower = lowered_ && options_.next_rps > 0;
  return (lower ? options_.next_rps : options_.rps) * share_;
}

void Client::SetRates() {
  const bool lower = lowered_ && options_.next_rps > 0;
  requests_.SetRate(request_rate(), 1.0);
  writes_.SetRate((lower ? options_.next_write_rps : options_.write_rps) * share_, 1.0);
}

void Client::NoteLimits(const std::optional<wire::HttpResponse>& r) {
  if (!r || r->status != 429 || !may_be_lowered_ || lowered_ || options_.next_rps <= 0) return;
  spdlog::info("state service: its limits are lower from now on");
  lowered_ = true;
  SetRates();
}

void Client::Note(const std::optional<wire::HttpResponse>& r) {
  NoteLimits(r);
  const bool good = r && r->status != 503 && r->status != 429;
  if (good) {
    if (failures_ >= 2) {
      spdlog::info("state service answers again after {} failures", failures_);
    }
    failures_ = 0;
  } else {
    if (++failures_ == 2) spdlog::warn("state service does not answer");
  }
}

async::Task<std::optional<wire::HttpResponse>> Client::Direct(wire::HttpRequest request) {
  const double writes = request.target == "/txn" ? 1 : 0;
  const double wait = requests_.Take(scope_.loop().Now(), 1, Urgent::kNo, 0);
  const double w = writes_.Take(scope_.loop().Now(), writes, Urgent::kNo, 0);
  if (wait < 0 || w < 0) co_return std::nullopt;
  const bool repeatable = request.method == "GET";
  auto r = co_await http_.Call(scope_, options_.endpoint, std::move(request), options_.timeout_s,
                               repeatable);
  Note(r);
  co_return r;
}

async::Task<std::optional<wire::HttpResponse>> Client::Call(wire::HttpRequest request,
                                                            double writes, Urgent urgent,
                                                            double timeout_s, double patience_s,
                                                            Route route) {
  const double max_wait_s = patience_s < 0 ? options_.timeout_s * kQueueRatio : patience_s;
  double wait = requests_.Take(scope_.loop().Now(), 1, urgent, max_wait_s);
  if (wait >= 0 && writes > 0) {
    const double cost = writes;
    const double w = writes_.Take(scope_.loop().Now(), cost, urgent, max_wait_s);
    wait = w < 0 ? w : std::max(wait, w);
  }
  if (wait < 0) {
    spdlog::debug("state budget is used up: {} {}", request.method, request.target);
    co_return wire::HttpResponse{.status = 429, .body = {}};
  }
  if (wait > 0) {
    async::Sleep pause(scope_, wait);
    co_await pause;
  }
  const bool repeatable = request.method == "GET";
  // While this node alone is refused, single values and transactions go by way of a peer. That is
  // safe even for a transaction that got no answer here: its guards name the keys that it writes,
  // so that only one copy can ever be applied.
  const bool relayable = relay_ && (route == Route::kAny || request.target == "/txn" ||
                                    request.target.starts_with(kGet));
  // A refusal of one copy says nothing of another that got no answer and may be carried out yet.
  bool pending = false;
  auto final = [&](const wire::HttpResponse& a) {
    return repeatable || !pending || (a.status != 503 && a.status != 429);
  };
  if (relayable && down()) {
    net::Relayed other = co_await relay_(request);
    if (other.answer) co_return std::move(other.answer);
    pending = other.sent;
  }
  std::optional<wire::HttpResponse> r =
      co_await http_.Call(scope_, options_.endpoint, request, timeout_s, repeatable);
  Note(r);
  if (relayable && down()) {
    pending = pending || !r;
    net::Relayed other = co_await relay_(std::move(request));
    if (other.answer && final(*other.answer)) co_return std::move(other.answer);
    pending = pending || (other.sent && !other.answer);
  }
  if (r && !final(*r)) r.reset();
  co_return r;
}

async::Task<Result<model::KeyValue>> Client::Get(std::string key, Urgent urgent) {
  wire::HttpRequest q{.method = "GET", .target = "/store/" + key, .body = {}};
  auto r = co_await Call(std::move(q), 0, urgent, options_.timeout_s);
  if (!r || r->status != 200) co_return Failed<model::KeyValue>(r);
  co_return Made(wire::ReadKeyValue(r->body));
}

async::Task<Result<model::KeyValueList>> Client::List(std::string prefix, std::string after) {
  std::string target = "/store?starts=" + wire::EscapeQuery(prefix) + "&limit=1000";
  if (!after.empty()) target += "&from=" + wire::EscapeQuery(after);
  wire::HttpRequest q{.method = "GET", .target = std::move(target), .body = {}};
  // A full page takes a small machine longer to read than a single value does.
  auto r = co_await Call(std::move(q), 0, Urgent::kYes, options_.timeout_s * 5);
  if (!r || r->status != 200) co_return Failed<model::KeyValueList>(r);
  co_return Made(wire::ReadKeyValueList(r->body));
}

async::Task<Result<uint64_t>> Client::Revision(double timeout_s) {
  wire::HttpRequest q{.method = "GET",
                      .target = "/store?starts=" + wire::EscapeQuery(kNothing) + "&limit=1",
                      .body = {}};
  auto r = co_await Call(std::move(q), 0, Urgent::kNo, timeout_s);
  if (!r || r->status != 200) co_return Failed<uint64_t>(r);
  co_return Made(wire::ReadRevision(r->body));
}

async::Task<Result<Client::CommitResult>> Client::Commit(
    std::vector<model::Precondition> preconditions, std::vector<model::KeyWrite> writes,
    Urgent urgent, double patience_s) {
  wire::HttpRequest q{
      .method = "POST", .target = "/txn", .body = wire::WriteTransaction(preconditions, writes)};
  auto r = co_await Call(std::move(q), static_cast<double>(writes.size()), urgent,
                         options_.timeout_s, patience_s);
  if (r && r->status == 409) {
    co_return Result<CommitResult>{Status::kConflict, {0, wire::ReadFailedPreconditions(r->body)}};
  }
  if (!r || r->status != 200) co_return Failed<CommitResult>(r);
  auto revision = wire::ReadRevision(r->body);
  if (!revision) co_return Result<CommitResult>{Status::kUnknown};
  co_return Result<CommitResult>{Status::kOk, {*revision, {}}};
}

async::Task<Result<uint64_t>> Client::Grant(double ttl_s) {
  wire::HttpRequest q{.method = "POST", .target = "/holds", .body = wire::WriteLeaseRequest(ttl_s)};
  auto r = co_await Call(std::move(q), 0, Urgent::kYes, options_.timeout_s);
  if (!r || r->status != 200) co_return Failed<uint64_t>(r);
  co_return Made(wire::ReadLeaseId(r->body));
}

async::Task<Result<bool>> Client::Extend(uint64_t lease_id, Route route) {
  wire::HttpRequest q{
      .method = "POST", .target = "/holds/" + std::to_string(lease_id) + "/extend", .body = "{}"};
  auto r = co_await Call(std::move(q), 0, Urgent::kYes, options_.timeout_s, -1, route);
  if (!r || r->status != 200) co_return Failed<bool>(r);
  co_return Result<bool>{Status::kOk, true};
}

async::Task<Result<bool>> Client::End(uint64_t lease_id, Route route) {
  wire::HttpRequest q{
      .method = "DELETE", .target = "/holds/" + std::to_string(lease_id), .body = {}};
  auto r = co_await Call(std::move(q), 0, Urgent::kYes, options_.timeout_s, -1, route);
  if (!r || (r->status != 200 && r->status != 204 && r->status != 404)) {
    co_return Failed<bool>(r);
  }
  co_return Result<bool>{Status::kOk, true};
}

async::Task<Result<model::WatchResponse>> Client::Follow(std::string prefix, uint64_t revision,
                                                         double block_s) {
  wire::HttpRequest q{.method = "GET",
                      .target = "/follow?starts=" + wire::EscapeQuery(prefix) +
                                "&from=" + std::to_string(revision) +
                                "&blockMs=" + std::to_string(static_cast<int>(block_s * 1000)),
                      .body = {}};
  auto r = co_await Call(std::move(q), 0, Urgent::kYes, block_s + options_.timeout_s);
  if (!r || r->status != 200) co_return Failed<model::WatchResponse>(r);
  co_return Made(wire::ReadWatchResponse(r->body));
}

}  // namespace hallpier::store
