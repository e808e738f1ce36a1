#include "election/leader_election.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/operator_options.h"

namespace hallpier::election {
namespace {

// Renewals per time to live of the lease.
constexpr double kRenewalsPerLease = 3;
// After an early wake-up, the lease is not renewed before this share of the renewal interval has
// passed.
constexpr double kMinRenewalWaitRatio = 0.9;

}  // namespace

LeaderElection::LeaderElection(async::Scope& scope, const config::Settings& settings,
                               const config::OperatorOptions& operator_options,
                               store::Client& client, store::WatchCache& cache,
                               const ElectionPolicy& policy, TermStarter start_term)
    : scope_(scope),
      settings_(settings),
      operator_options_(operator_options),
      client_(client),
      cache_(cache),
      policy_(policy),
      start_term_(std::move(start_term)) {}

double LeaderElection::LeaseTtlS() const {
  return operator_options_.leader_ttl_ratio * settings_.heartbeat_interval_s;
}

double LeaderElection::RenewalIntervalS() const { return LeaseTtlS() / kRenewalsPerLease; }

double LeaderElection::OutageAnswerWindowS() const {
  return operator_options_.blind_ratio * settings_.lease_s;
}

double LeaderElection::MaxRenewalGapS() const {
  return std::max(LeaseTtlS(), RenewalIntervalS() + 2 * client_.timeout_s());
}

bool LeaderElection::MayAct() const {
  if (!leading() || lost_) return false;
  // No renewal has failed, but the last one is so old that the lease has expired: this process was
  // paused or is far behind. Another node may have become leader since. The next renewal shows
  // whether one has; until then no worker is answered, since the state from before the pause may be
  // outdated.
  if (!renewal_failing_ && scope_.loop().Now() > last_renewal_ + MaxRenewalGapS()) return false;
  // Even if this node is still the leader, renewing workers' leases while it may not know a
  // cancellation would keep cancelled tasks running (election/cancellation_watermark.h).
  if (!policy_.MayRenewWorkerLeases()) return false;
  // Without the state service this node can't know whether another node has become leader. It
  // continues to answer workers for a fixed share of the workers' lease, so that running tasks
  // survive an outage. This is safe because a successor waits that long from the start of its term
  // (predecessor_answers_until) before it relies on the expiry of a worker's lease. After a pause
  // this node does not continue in this way: the outage may have ended in the meantime.
  const bool paused = scope_.loop().resumed_at() > last_renewal_;
  if (!paused && scope_.loop().Now() < last_renewal_ + OutageAnswerWindowS()) return true;
  // After a pause or after that share of the lease, workers are answered only while every other
  // node currently confirms the outage, so that no successor can exist. A majority is not enough:
  // the node that does not answer may be the new leader.
  return policy_.OutageConfirmedByAll();
}

model::FencingToken LeaderElection::HighestToken() const {
  return std::max(token_, cache_.fencing_token());
}

void LeaderElection::OnNodeFailed(const std::string& node) {
  if (leading() || !leader_record_ || leader_record_->node != node) return;
  if (failed_node_lease_id_ == leader_record_->lease_id) return;
  spdlog::warn("failover: revoking leader lease node={} reason=process has probably ended", node);
  failed_node_lease_id_ = leader_record_->lease_id;
  wake_.Notify();
}

void LeaderElection::OnLeaderRecord(const std::string& value) {
  if (leader_record_ && leader_record_->node != settings_.node) {
    other_leader_ended_at_ = scope_.loop().Now();
  }
  leader_record_.reset();
  if (!value.empty())
    leader_record_ = store::RecordOrLog(store::LeaderKey(), store::ReadLeader(value));
  if (leading() && (!leader_record_ || leader_record_->lease_id != lease_id_)) {
    spdlog::warn("failover: leadership lost token={} reason=leader record replaced",
                 token_.value());
    lost_ = true;
  }
  wake_.Notify();
}

void LeaderElection::OnTokenSeen(model::FencingToken token) {
  // While this node raises its token, other nodes may learn of the new token first, so a higher
  // token does not end the term. If the write fails, RaiseToken() checks the token in the watch
  // cache.
  if (!leading() || lost_ || raising_token_ || token <= token_) return;
  spdlog::warn("failover: leadership lost token={} reason=higher token {} seen", token_.value(),
               token.value());
  lost_ = true;
  wake_.Notify();
}

void LeaderElection::Resign(double pause_s, const std::string& reason) {
  if (!leading() || lost_) return;
  spdlog::warn("failover: leadership given up token={} reason={}", token_.value(), reason);
  earliest_reacquire_ = scope_.loop().Now() + pause_s;
  lost_ = true;
  wake_.Notify();
}

async::Task<bool> LeaderElection::RaiseToken() {
  std::vector<model::Precondition> preconditions = {store::FencingTokenPrecondition(token_)};
  std::vector<model::KeyWrite> writes = {
      {store::FencingTokenKey(), store::WriteFencingTokenRecord(settings_.node), 0}};
  raising_token_ = true;
  auto result =
      co_await client_.Commit(std::move(preconditions), writes, store::RequestPriority::kUrgent);
  raising_token_ = false;
  if (!result.ok()) {
    // The transaction may have been committed nevertheless; then the current token is invalid.
    OnTokenSeen(cache_.fencing_token());
    co_return false;
  }
  token_ = model::FencingToken(result.value.revision);
  cache_.ApplyAheadOfWatch(store::FencingTokenKey(), writes[0].value, token_.value());
  spdlog::info("failover: token raised token={} reason=invalidate unanswered start commands",
               token_.value());
  co_return true;
}

async::Task<bool> LeaderElection::Acquire() {
  const double requested_at = scope_.loop().Now();
  auto lease_id = co_await client_.GrantLease(LeaseTtlS());
  if (!lease_id.ok()) co_return false;
  std::vector<model::Precondition> preconditions = {
      {store::LeaderKey(), 0}, store::FencingTokenPrecondition(cache_.fencing_token())};
  for (model::Precondition& precondition : policy_.AcquirePreconditions()) {
    preconditions.push_back(std::move(precondition));
  }
  const std::string leader_record = store::WriteLeader({settings_.node, lease_id.value});
  const std::string token_record = store::WriteFencingTokenRecord(settings_.node);
  std::vector<model::KeyWrite> writes = {{store::LeaderKey(), leader_record, lease_id.value},
                                         {store::FencingTokenKey(), token_record, 0}};
  auto result = co_await client_.Commit(std::move(preconditions), std::move(writes),
                                        store::RequestPriority::kUrgent);
  if (!result.ok()) {
    // If there was no response, the transaction may have been applied or may still be applied. It
    // can't be applied once the lease is revoked. If the lease can't be revoked now, the leader
    // record that the transaction may leave behind is removed later (OrphanedLease).
    auto revoked = co_await client_.RevokeLease(lease_id.value);
    (void)revoked;
    co_return false;
  }
  BeginTerm(model::FencingToken(result.value.revision), lease_id.value, requested_at);
  cache_.ApplyAheadOfWatch(store::LeaderKey(), leader_record, token_.value());
  cache_.ApplyAheadOfWatch(store::FencingTokenKey(), token_record, token_.value());
  spdlog::info("failover: leadership acquired token={}", token_.value());
  co_return true;
}

void LeaderElection::BeginTerm(model::FencingToken token, uint64_t lease_id, double requested_at) {
  // The window counts from now. The duration of the former leader's lease must not be subtracted,
  // since that lease may have been revoked a moment ago (OnNodeFailed). The window is also needed
  // if this node itself was the leader before a restart: the leader before that term may still be
  // answering workers.
  predecessor_answers_until_ = scope_.loop().Now() + OutageAnswerWindowS();
  lease_id_ = lease_id;
  token_ = token;
  lost_ = false;
  renewal_failing_ = false;
  last_renewal_ = requested_at;
  last_direct_renewal_ = requested_at;
}

async::Task<> LeaderElection::Renew() {
  const double requested_at = scope_.loop().Now();
  const bool via_peer =
      requested_at - last_direct_renewal_ < kMaxRelayedRenewalRatio * settings_.lease_s;
  const auto route = via_peer ? store::Client::Route::kAny : store::Client::Route::kDirect;
  auto result = co_await client_.RenewLease(lease_id_, route);
  renewal_failing_ = !result.ok();
  if (result.ok()) {
    last_renewal_ = requested_at;
    if (!client_.down()) last_direct_renewal_ = requested_at;
  } else if (result.status == store::Status::kNotFound ||
             result.status == store::Status::kInvalid) {
    spdlog::warn("lease expiry: leader lease ended token={}", token_.value());
    lost_ = true;
  }
}

async::Task<> LeaderElection::RenewUntilLost() {
  while (!scope_.cancelled() && !lost_) {
    const bool paused = scope_.loop().resumed_at() > last_renewal_;
    auto wait = wake_.Await(scope_, paused && !renewal_failing_ ? 0 : RenewalIntervalS());
    co_await wait;
    if (scope_.cancelled() || lost_) break;
    const double since_renewal_s = scope_.loop().Now() - last_renewal_;
    if (!paused && since_renewal_s < RenewalIntervalS() * kMinRenewalWaitRatio) continue;
    co_await Renew();
  }
  lost_ = true;
}

async::Task<> LeaderElection::RunTerm() {
  async::Scope term(scope_.loop(), &scope_);
  holds_lease_ = true;
  client_.SetLeading(true);
  start_term_(term);
  co_await RenewUntilLost();
  term.Cancel();
  co_await term.Join();
  client_.SetLeading(false);
  const uint64_t lease_id = lease_id_;
  spdlog::info("failover: term ended token={}", token_.value());
  token_ = {};
  lease_id_ = 0;
  const auto route =
      policy_.MayRevokeViaPeer() ? store::Client::Route::kAny : store::Client::Route::kDirect;
  auto revoked = co_await client_.RevokeLease(lease_id, route);
  (void)revoked;
  holds_lease_ = false;
}

async::Task<> LeaderElection::AwaitRecordRemoval(uint64_t lease_id, bool revoked) {
  // The watch may have delivered the removal before the response arrived.
  if (revoked && (!leader_record_ || leader_record_->lease_id != lease_id)) co_return;
  auto wait = wake_.Await(scope_, RenewalIntervalS());
  co_await wait;
}

std::optional<uint64_t> LeaderElection::OrphanedLease() const {
  if (!leader_record_) return std::nullopt;
  // A record with this node's name was left by a former process of this node, by a transaction of
  // this process that got no response, or by an ended term whose lease could not be revoked. Only
  // one process runs per node, so no other process acts under this record.
  const bool is_own_record = leader_record_->node == settings_.node;
  if (!is_own_record && leader_record_->lease_id != failed_node_lease_id_) return std::nullopt;
  return leader_record_->lease_id;
}

async::Task<> LeaderElection::RevokeOrphanedLease(uint64_t lease_id) {
  auto revoked = co_await client_.RevokeLease(lease_id);
  co_await AwaitRecordRemoval(lease_id, revoked.ok());
}

async::Task<bool> LeaderElection::AwaitEligibility() {
  const double now = scope_.loop().Now();
  if (leader_record_ || now < earliest_reacquire_) {
    auto wait = wake_.Await(scope_, leader_record_ ? LeaseTtlS() : earliest_reacquire_ - now);
    co_await wait;
    co_return false;
  }
  if (!policy_.MayBecomeLeader()) {
    auto wait = wake_.Await(scope_, RenewalIntervalS());
    co_await wait;
    co_return false;
  }
  const double delay_s = policy_.AcquireDelayS();
  if (delay_s <= 0) co_return true;
  auto wait = wake_.Await(scope_, delay_s);
  co_await wait;
  co_return !leader_record_ && !scope_.cancelled();
}

async::Task<> LeaderElection::AcquireAndRunTerm() {
  const bool acquired = co_await Acquire();
  if (acquired) {
    co_await RunTerm();
    co_return;
  }
  async::Sleep wait(scope_, RenewalIntervalS() * retry_jitter_(random_));
  co_await wait;
}

async::Task<> LeaderElection::Run() {
  while (!scope_.cancelled()) {
    if (!cache_.loaded()) {
      auto wait = cache_.changed().Await(scope_, LeaseTtlS());
      co_await wait;
      continue;
    }
    if (const std::optional<uint64_t> lease_id = OrphanedLease()) {
      co_await RevokeOrphanedLease(*lease_id);
      continue;
    }
    const bool eligible = co_await AwaitEligibility();
    if (eligible) co_await AcquireAndRunTerm();
  }
}

}  // namespace hallpier::election
