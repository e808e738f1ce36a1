#include "election/leader_election.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace hallpier::election {
namespace {
// The lease is renewed this often within its length.
constexpr double kRenewals = 3;
}  // namespace

LeaderElection::LeaderElection(async::Scope& scope, const config::Settings& settings,
                               const config::Operator& operators, store::Client& client,
                               store::WatchCache& cache, Term term)
    : scope_(scope),
      settings_(settings),
      operators_(operators),
      client_(client),
      cache_(cache),
      term_(std::move(term)) {}

double LeaderElection::ttl() const {
  return operators_.leader_ttl_ratio * settings_.heartbeat_interval_s;
}

double LeaderElection::MaxUnverifiedS() const {
  return std::max(ttl(), ttl() / kRenewals + 2 * client_.timeout_s());
}

bool LeaderElection::Entitled() const {
  // Without the state service we can't know whether another node leads. Answers go on for a set
  // part of the workers' lease, which a successor waits for (others_until) before it trusts a
  // lease's end; that carries running tasks through an outage.
  const double unverified_s = operators_.blind_ratio * settings_.lease_s;
  if (!leading() || lost_) return false;
  // A lease that ran out though no renewal has failed: this process stood still, or is far behind.
  // Others may have led since, and the first renewal tells whether they did; until then nobody is
  // answered on the strength of what was so before.
  if (!doubted_ && scope_.loop().Now() > last_renewed_ + MaxUnverifiedS()) return false;
  // Whoever leads: a lease that is renewed by one who may lack a cancellation keeps cancelled tasks
  // alive (election/cancellation_watermark.h).
  if (may_renew_ && !may_renew_()) return false;
  // A pause in an outage may have outlasted it: what was known of the service before says nothing.
  const bool paused = scope_.loop().resumed_at() > last_renewed_;
  if (!paused && scope_.loop().Now() < last_renewed_ + unverified_s) return true;
  // Beyond that only while every other node says at this moment that nobody can have followed us. A
  // majority would not do: the node that is missing may be the one that leads.
  return outage_confirmed_ && outage_confirmed_();
}

model::FencingToken LeaderElection::highest() const {
  return std::max(token_, cache_.fencing_token());
}

void LeaderElection::Suspect(const std::string& node) {
  if (leading() || !record_ || record_->node != node) return;
  if (suspected_lease_id_ == record_->lease_id) return;
  spdlog::warn("leadership: {} seems to have ended; its lease is ended for it", node);
  suspected_lease_id_ = record_->lease_id;
  wake_.Notify();
}

void LeaderElection::OnRecord(const std::string& value) {
  record_.reset();
  if (!value.empty()) record_ = store::ReadLeader(value).ToOptionalOrLog(store::LeaderKey());
  if (leading() && (!record_ || record_->lease_id != lease_id_)) {
    spdlog::warn("leadership: the record is no longer ours");
    lost_ = true;
  }
  wake_.Notify();
}

void LeaderElection::Superseded(model::FencingToken token) {
  // While we raise our own token, others may hear of it before we do.
  if (!leading() || lost_ || fencing_ || token <= token_) return;
  spdlog::warn("leadership: token {} is higher than ours, {}", token.value(), token_.value());
  lost_ = true;
  wake_.Notify();
}

void LeaderElection::Resign(double pause_s, const std::string& why) {
  if (!leading() || lost_) return;
  spdlog::warn("leadership: given up: {}", why);
  not_before_ = scope_.loop().Now() + pause_s;
  lost_ = true;
  wake_.Notify();
}

async::Task<bool> LeaderElection::Fence() {
  std::vector<model::Precondition> preconditions = {store::TokenPrecondition(token_)};
  std::vector<model::KeyWrite> writes = {
      {store::FencingTokenKey(), store::WriteFencingTokenRecord(settings_.node), 0}};
  fencing_ = true;
  auto r =
      co_await client_.Commit(std::move(preconditions), writes, store::RequestPriority::kUrgent);
  fencing_ = false;
  if (!r.ok()) {
    // It may have been carried out all the same, and then our token is void.
    Superseded(cache_.fencing_token());
    co_return false;
  }
  token_ = model::FencingToken(r.value.revision);
  cache_.Apply(store::FencingTokenKey(), writes[0].value, token_.value());
  spdlog::info("leadership: new token {} to make lost orders void", token_.value());
  co_return true;
}

async::Task<bool> LeaderElection::Acquire() {
  const double asked = scope_.loop().Now();
  auto lease_id = co_await client_.GrantLease(ttl());
  if (!lease_id.ok()) co_return false;
  std::vector<model::Precondition> preconditions = {
      {store::LeaderKey(), 0}, store::TokenPrecondition(cache_.fencing_token())};
  if (take_hooks_.preconditions) {
    for (model::Precondition& precondition : take_hooks_.preconditions())
      preconditions.push_back(std::move(precondition));
  }
  const std::string leader = store::WriteLeader({settings_.node, lease_id.value});
  const std::string block = store::WriteFencingTokenRecord(settings_.node);
  std::vector<model::KeyWrite> writes = {{store::LeaderKey(), leader, lease_id.value},
                                         {store::FencingTokenKey(), block, 0}};
  auto r = co_await client_.Commit(std::move(preconditions), std::move(writes),
                                   store::RequestPriority::kUrgent);
  if (!r.ok()) {
    // With no answer it may have been, or may yet be, applied: without the lease it can't be.
    auto ended = co_await client_.RevokeLease(lease_id.value);
    (void)ended;
    co_return false;
  }
  const double now = scope_.loop().Now();
  const double unverified_s = operators_.blind_ratio * settings_.lease_s;
  // The former leader's lease may have been ended for it a moment ago (Suspect), so that its length
  // can't be counted on. Nor does it help that the former leader was this node, before it was
  // started anew: whom that one had followed may still be answering.
  others_until_ = now + unverified_s;
  lease_id_ = lease_id.value;
  token_ = model::FencingToken(r.value.revision);
  lost_ = false;
  doubted_ = false;
  last_renewed_ = last_renewed_directly_ = asked;
  cache_.Apply(store::LeaderKey(), leader, token_.value());
  cache_.Apply(store::FencingTokenKey(), block, token_.value());
  spdlog::info("leadership: taken with token {}", token_.value());
  co_return true;
}

async::Task<> LeaderElection::Renew() {
  const double asked = scope_.loop().Now();
  const bool relay = asked - last_renewed_directly_ < kRelayedRatio * settings_.lease_s;
  const auto route = relay ? store::Client::Route::kAny : store::Client::Route::kDirect;
  auto r = co_await client_.RenewLease(lease_id_, route);
  doubted_ = !r.ok();
  if (r.ok()) {
    last_renewed_ = asked;
    if (!client_.down()) last_renewed_directly_ = asked;
  } else if (r.status == store::Status::kNotFound || r.status == store::Status::kInvalid) {
    spdlog::warn("leadership: the lease has ended");
    lost_ = true;
  }
}

async::Task<> LeaderElection::RenewUntilLost() {
  while (!scope_.cancelled() && !lost_) {
    const bool paused = scope_.loop().resumed_at() > last_renewed_;
    auto pause = wake_.Await(scope_, paused && !doubted_ ? 0 : ttl() / kRenewals);
    co_await pause;
    if (scope_.cancelled() || lost_) break;
    const double since = scope_.loop().Now() - last_renewed_;
    if (!paused && since < ttl() / kRenewals * 0.9) continue;
    co_await Renew();
  }
  lost_ = true;
}

async::Task<> LeaderElection::Hold() {
  async::Scope term(scope_.loop(), &scope_);
  holding_ = true;
  client_.SetLeading(true);
  term_(term);
  co_await RenewUntilLost();
  term.Cancel();
  co_await term.Join();
  client_.SetLeading(false);
  const uint64_t lease_id = lease_id_;
  token_ = {};
  lease_id_ = 0;
  spdlog::info("leadership: term is over");
  // A node that yields since it is refused alone can end its lease only by way of a peer.
  const auto route =
      take_hooks_.allowed ? store::Client::Route::kAny : store::Client::Route::kDirect;
  auto ended = co_await client_.RevokeLease(lease_id, route);
  (void)ended;
  holding_ = false;
}

async::Task<> LeaderElection::AwaitRecordGone(uint64_t lease_id, bool ended) {
  // The watch may have told it already, while the answer was under way.
  if (ended && (!record_ || record_->lease_id != lease_id)) co_return;
  auto pause = wake_.Await(scope_, ttl() / kRenewals);
  co_await pause;
}

std::optional<uint64_t> LeaderElection::ForgottenLease() const {
  if (!record_) return std::nullopt;
  // Left by the process that ran here before, or by a transaction of ours that got no answer. One
  // process runs per node: nobody else acts under this record.
  const bool own = record_->node == settings_.node;
  if (!own && record_->lease_id != suspected_lease_id_) return std::nullopt;
  return record_->lease_id;
}

async::Task<> LeaderElection::EndForgotten(uint64_t lease_id) {
  auto ended = co_await client_.RevokeLease(lease_id);
  co_await AwaitRecordGone(lease_id, ended.ok());
}

async::Task<bool> LeaderElection::AwaitChance() {
  const double now = scope_.loop().Now();
  if (record_ || now < not_before_) {
    auto pause = wake_.Await(scope_, record_ ? ttl() : not_before_ - now);
    co_await pause;
    co_return false;
  }
  if (take_hooks_.allowed && !take_hooks_.allowed()) {
    auto pause = wake_.Await(scope_, ttl() / kRenewals);
    co_await pause;
    co_return false;
  }
  const double delay_s = take_hooks_.delay_s ? take_hooks_.delay_s() : 0;
  if (delay_s <= 0) co_return true;
  auto pause = wake_.Await(scope_, delay_s);
  co_await pause;
  co_return !record_ && !scope_.cancelled();
}

async::Task<> LeaderElection::TryToLead() {
  bool got = co_await Acquire();
  if (got) {
    co_await Hold();
    co_return;
  }
  async::Sleep pause(scope_, ttl() / kRenewals * retry_jitter_(random_));
  co_await pause;
}

async::Task<> LeaderElection::Run() {
  while (!scope_.cancelled()) {
    if (!cache_.loaded()) {
      auto pause = cache_.changed().Await(scope_, ttl());
      co_await pause;
      continue;
    }
    if (const std::optional<uint64_t> lease_id = ForgottenLease()) {
      co_await EndForgotten(*lease_id);
      continue;
    }
    bool chance = co_await AwaitChance();
    if (chance) co_await TryToLead();
  }
}

}  // namespace hallpier::election
