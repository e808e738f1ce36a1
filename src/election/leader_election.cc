#include "election/leader_election.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/operator_options.h"

namespace hallpier::election {
namespace {

// Renewals of the lease within its length.
constexpr double kRenewals = 3;
// Woken earlier than this part of the renewal interval, the lease is not renewed yet.
constexpr double kRenewalDue = 0.9;

}  // namespace

LeaderElection::LeaderElection(async::Scope& scope, const config::Settings& settings,
                               const config::OperatorOptions& operators, store::Client& client,
                               store::WatchCache& cache, const ElectionPolicy& policy,
                               TermStarter start_term)
    : scope_(scope),
      settings_(settings),
      operators_(operators),
      client_(client),
      cache_(cache),
      policy_(policy),
      start_term_(std::move(start_term)) {}

double LeaderElection::LeaseTtlS() const {
  return operators_.leader_ttl_ratio * settings_.heartbeat_interval_s;
}

double LeaderElection::RenewalIntervalS() const { return LeaseTtlS() / kRenewals; }

double LeaderElection::UnverifiedAnswersS() const {
  return operators_.blind_ratio * settings_.lease_s;
}

double LeaderElection::MaxRenewalGapS() const {
  return std::max(LeaseTtlS(), RenewalIntervalS() + 2 * client_.timeout_s());
}

bool LeaderElection::MayAct() const {
  if (!leading() || lost_) return false;
  // The lease ran out though no renewal has failed: this process was paused, or is far behind.
  // Another node may have led since. The first renewal shows whether one did; until then nobody is
  // answered on the strength of what was true before.
  if (!renewal_failing_ && scope_.loop().Now() > last_renewed_ + MaxRenewalGapS()) return false;
  // Whoever leads: renewing a worker's lease while a cancellation may be unknown here keeps
  // cancelled tasks alive (election/cancellation_watermark.h).
  if (!policy_.MayRenewWorkerLeases()) return false;
  // Without the key-value store we can't know whether another node leads. Answers go on for a set
  // part of the workers' lease; a successor waits that long (predecessor_answers_until) before it
  // relies on the end of a lease. That carries running tasks through an outage. It does not hold
  // after a pause: the outage may have ended meanwhile.
  const bool paused = scope_.loop().resumed_at() > last_renewed_;
  if (!paused && scope_.loop().Now() < last_renewed_ + UnverifiedAnswersS()) return true;
  // Beyond that, only while every other node says at this moment that no successor can exist. A
  // majority would not do: the node that is missing may be the one that leads.
  return policy_.OutageConfirmedByAll();
}

model::FencingToken LeaderElection::HighestToken() const {
  return std::max(token_, cache_.fencing_token());
}

void LeaderElection::OnNodeFailed(const std::string& node) {
  if (leading() || !record_ || record_->node != node) return;
  if (failed_nodes_lease_id_ == record_->lease_id) return;
  spdlog::warn("failover: revoking leader lease node={} reason=process seems to have ended", node);
  failed_nodes_lease_id_ = record_->lease_id;
  wake_.Notify();
}

void LeaderElection::OnLeaderRecord(const std::string& value) {
  record_.reset();
  if (!value.empty()) record_ = store::RecordOrLog(store::LeaderKey(), store::ReadLeader(value));
  if (leading() && (!record_ || record_->lease_id != lease_id_)) {
    spdlog::warn("failover: lead lost token={} reason=leader record replaced", token_.value());
    lost_ = true;
  }
  wake_.Notify();
}

void LeaderElection::OnTokenSeen(model::FencingToken token) {
  // While we raise our own token, others may hear of the new one before we do.
  if (!leading() || lost_ || raising_token_ || token <= token_) return;
  spdlog::warn("failover: lead lost token={} reason=higher token {} seen", token_.value(),
               token.value());
  lost_ = true;
  wake_.Notify();
}

void LeaderElection::Resign(double pause_s, const std::string& reason) {
  if (!leading() || lost_) return;
  spdlog::warn("failover: lead given up token={} reason={}", token_.value(), reason);
  earliest_retake_ = scope_.loop().Now() + pause_s;
  lost_ = true;
  wake_.Notify();
}

async::Task<bool> LeaderElection::RaiseToken() {
  std::vector<model::Precondition> preconditions = {store::TokenPrecondition(token_)};
  std::vector<model::KeyWrite> writes = {
      {store::FencingTokenKey(), store::WriteFencingTokenRecord(settings_.node), 0}};
  raising_token_ = true;
  auto result =
      co_await client_.Commit(std::move(preconditions), writes, store::RequestPriority::kUrgent);
  raising_token_ = false;
  if (!result.ok()) {
    // It may have been carried out all the same, and then our token is void.
    OnTokenSeen(cache_.fencing_token());
    co_return false;
  }
  token_ = model::FencingToken(result.value.revision);
  cache_.Apply(store::FencingTokenKey(), writes[0].value, token_.value());
  spdlog::info("failover: token raised token={} reason=void unanswered starts", token_.value());
  co_return true;
}

async::Task<bool> LeaderElection::Acquire() {
  const double asked = scope_.loop().Now();
  auto lease_id = co_await client_.GrantLease(LeaseTtlS());
  if (!lease_id.ok()) co_return false;
  std::vector<model::Precondition> preconditions = {
      {store::LeaderKey(), 0}, store::TokenPrecondition(cache_.fencing_token())};
  for (model::Precondition& precondition : policy_.AcquirePreconditions()) {
    preconditions.push_back(std::move(precondition));
  }
  const std::string leader = store::WriteLeader({settings_.node, lease_id.value});
  const std::string token_record = store::WriteFencingTokenRecord(settings_.node);
  std::vector<model::KeyWrite> writes = {{store::LeaderKey(), leader, lease_id.value},
                                         {store::FencingTokenKey(), token_record, 0}};
  auto result = co_await client_.Commit(std::move(preconditions), std::move(writes),
                                        store::RequestPriority::kUrgent);
  if (!result.ok()) {
    // With no answer it may have been, or may yet be, applied; without the lease it can't be.
    auto revoked = co_await client_.RevokeLease(lease_id.value);
    (void)revoked;
    co_return false;
  }
  BeginTerm(model::FencingToken(result.value.revision), lease_id.value, asked);
  cache_.Apply(store::LeaderKey(), leader, token_.value());
  cache_.Apply(store::FencingTokenKey(), token_record, token_.value());
  spdlog::info("failover: lead taken token={}", token_.value());
  co_return true;
}

void LeaderElection::BeginTerm(model::FencingToken token, uint64_t lease_id, double asked) {
  // The length of the former leader's lease can't be counted on, since it may have been revoked a
  // moment ago (OnNodeFailed). Nor does it help if this node led before and was restarted: whoever
  // its former process had followed may still be answering.
  predecessor_answers_until_ = scope_.loop().Now() + UnverifiedAnswersS();
  lease_id_ = lease_id;
  token_ = token;
  lost_ = false;
  renewal_failing_ = false;
  last_renewed_ = asked;
  last_renewed_directly_ = asked;
}

async::Task<> LeaderElection::Renew() {
  const double asked = scope_.loop().Now();
  const bool by_peer = asked - last_renewed_directly_ < kMaxRelayedRenewalRatio * settings_.lease_s;
  const auto route = by_peer ? store::Client::Route::kAny : store::Client::Route::kDirect;
  auto result = co_await client_.RenewLease(lease_id_, route);
  renewal_failing_ = !result.ok();
  if (result.ok()) {
    last_renewed_ = asked;
    if (!client_.down()) last_renewed_directly_ = asked;
  } else if (result.status == store::Status::kNotFound ||
             result.status == store::Status::kInvalid) {
    spdlog::warn("lease expiry: leader lease ended token={}", token_.value());
    lost_ = true;
  }
}

async::Task<> LeaderElection::RenewUntilLost() {
  while (!scope_.cancelled() && !lost_) {
    const bool paused = scope_.loop().resumed_at() > last_renewed_;
    auto pause = wake_.Await(scope_, paused && !renewal_failing_ ? 0 : RenewalIntervalS());
    co_await pause;
    if (scope_.cancelled() || lost_) break;
    const double since = scope_.loop().Now() - last_renewed_;
    if (!paused && since < RenewalIntervalS() * kRenewalDue) continue;
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

async::Task<> LeaderElection::AwaitRecordGone(uint64_t lease_id, bool revoked) {
  // The watch may have brought it already, while the answer was under way.
  if (revoked && (!record_ || record_->lease_id != lease_id)) co_return;
  auto pause = wake_.Await(scope_, RenewalIntervalS());
  co_await pause;
}

std::optional<uint64_t> LeaderElection::OrphanedLease() const {
  if (!record_) return std::nullopt;
  // Our own name: left by the process that ran here before, or by a transaction of ours that got no
  // answer. One process runs per node, so nobody else acts under this record.
  const bool own = record_->node == settings_.node;
  if (!own && record_->lease_id != failed_nodes_lease_id_) return std::nullopt;
  return record_->lease_id;
}

async::Task<> LeaderElection::RevokeOrphanedLease(uint64_t lease_id) {
  auto revoked = co_await client_.RevokeLease(lease_id);
  co_await AwaitRecordGone(lease_id, revoked.ok());
}

async::Task<bool> LeaderElection::AwaitVacancy() {
  const double now = scope_.loop().Now();
  if (record_ || now < earliest_retake_) {
    auto pause = wake_.Await(scope_, record_ ? LeaseTtlS() : earliest_retake_ - now);
    co_await pause;
    co_return false;
  }
  if (!policy_.MayBecomeLeader()) {
    auto pause = wake_.Await(scope_, RenewalIntervalS());
    co_await pause;
    co_return false;
  }
  const double delay_s = policy_.AcquireDelayS();
  if (delay_s <= 0) co_return true;
  auto pause = wake_.Await(scope_, delay_s);
  co_await pause;
  co_return !record_ && !scope_.cancelled();
}

async::Task<> LeaderElection::TryToLead() {
  const bool acquired = co_await Acquire();
  if (acquired) {
    co_await RunTerm();
    co_return;
  }
  async::Sleep pause(scope_, RenewalIntervalS() * retry_jitter_(random_));
  co_await pause;
}

async::Task<> LeaderElection::Run() {
  while (!scope_.cancelled()) {
    if (!cache_.loaded()) {
      auto pause = cache_.changed().Await(scope_, LeaseTtlS());
      co_await pause;
      continue;
    }
    if (const std::optional<uint64_t> lease_id = OrphanedLease()) {
      co_await RevokeOrphanedLease(*lease_id);
      continue;
    }
    const bool vacant = co_await AwaitVacancy();
    if (vacant) co_await TryToLead();
  }
}

}  // namespace hallpier::election
