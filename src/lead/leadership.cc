#include "lead/leadership.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace hallpier::lead {
namespace {
// The lease is renewed this often within its length.
constexpr double kRenewals = 3;
}  // namespace

Leadership::Leadership(rt::Scope& scope, const config::Settings& settings,
                       const config::Operator& operators, store::Client& client,
                       store::Replica& replica, Term term)
    : scope_(scope),
      settings_(settings),
      operators_(operators),
      client_(client),
      replica_(replica),
      term_(std::move(term)) {}

double Leadership::ttl() const { return operators_.leader_ttl_ratio * settings_.report_s; }

double Leadership::MaxUnverifiedS() const {
  return std::max(ttl(), ttl() / kRenewals + 2 * client_.timeout_s());
}

bool Leadership::Entitled() const {
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
  // alive (lead/cancellation_watermark.h).
  if (may_renew_ && !may_renew_()) return false;
  // A pause in an outage may have outlasted it: what was known of the service before says nothing.
  const bool paused = scope_.loop().resumed_at() > last_renewed_;
  if (!paused && scope_.loop().Now() < last_renewed_ + unverified_s) return true;
  // Beyond that only while every other node says at this moment that nobody can have followed us. A
  // majority would not do: the node that is missing may be the one that leads.
  return outage_confirmed_ && outage_confirmed_();
}

uint64_t Leadership::highest() const {
  return std::max(token_, replica_.Version(store::BlockKey(0)));
}

void Leadership::Suspect(const std::string& node) {
  if (leading() || !record_ || record_->node != node) return;
  if (suspected_lease_id_ == record_->lease_id) return;
  spdlog::warn("leadership: {} seems to have ended; its lease is ended for it", node);
  suspected_lease_id_ = record_->lease_id;
  wake_.Notify();
}

void Leadership::OnRecord(const std::string& value) {
  record_ = value.empty() ? std::nullopt : store::ReadLeader(value);
  if (leading() && (!record_ || record_->lease_id != lease_id_)) {
    spdlog::warn("leadership: the record is no longer ours");
    lost_ = true;
  }
  wake_.Notify();
}

void Leadership::Superseded(uint64_t token) {
  // While we raise our own token, others may hear of it before we do.
  if (!leading() || lost_ || fencing_ || token <= token_) return;
  spdlog::warn("leadership: token {} is higher than ours, {}", token, token_);
  lost_ = true;
  wake_.Notify();
}

void Leadership::Resign(double pause_s, const std::string& why) {
  if (!leading() || lost_) return;
  spdlog::warn("leadership: given up: {}", why);
  not_before_ = scope_.loop().Now() + pause_s;
  lost_ = true;
  wake_.Notify();
}

rt::Task<bool> Leadership::Fence() {
  std::vector<wire::Guard> guards = {{store::BlockKey(0), token_}};
  std::vector<wire::Write> writes = {{store::BlockKey(0), store::WriteBlock(settings_.node), 0}};
  fencing_ = true;
  auto r = co_await client_.Txn(std::move(guards), writes, store::Urgent::kYes);
  fencing_ = false;
  if (!r.ok()) {
    // It may have been carried out all the same, and then our token is void.
    Superseded(replica_.Version(store::BlockKey(0)));
    co_return false;
  }
  token_ = r.value.revision;
  replica_.Apply(store::BlockKey(0), writes[0].value, token_);
  spdlog::info("leadership: new token {} to make lost orders void", token_);
  co_return true;
}

rt::Task<bool> Leadership::Acquire() {
  const double asked = scope_.loop().Now();
  auto lease_id = co_await client_.Grant(ttl());
  if (!lease_id.ok()) co_return false;
  std::vector<wire::Guard> guards = {{store::LeaderKey(), 0},
                                     {store::BlockKey(0), replica_.Version(store::BlockKey(0))}};
  if (take_hooks_.guards) {
    for (wire::Guard& guard : take_hooks_.guards()) guards.push_back(std::move(guard));
  }
  const std::string leader = store::WriteLeader({settings_.node, lease_id.value});
  const std::string block = store::WriteBlock(settings_.node);
  std::vector<wire::Write> writes = {{store::LeaderKey(), leader, lease_id.value},
                                     {store::BlockKey(0), block, 0}};
  auto r = co_await client_.Txn(std::move(guards), std::move(writes), store::Urgent::kYes);
  if (!r.ok()) {
    // With no answer it may have been, or may yet be, applied: without the lease it can't be.
    auto ended = co_await client_.End(lease_id.value);
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
  token_ = r.value.revision;
  lost_ = false;
  doubted_ = false;
  last_renewed_ = last_renewed_directly_ = asked;
  replica_.Apply(store::LeaderKey(), leader, token_);
  replica_.Apply(store::BlockKey(0), block, token_);
  spdlog::info("leadership: taken with token {}", token_);
  co_return true;
}

rt::Task<> Leadership::Renew() {
  const double asked = scope_.loop().Now();
  const bool relay = asked - last_renewed_directly_ < kRelayedRatio * settings_.lease_s;
  const auto route = relay ? store::Client::Route::kAny : store::Client::Route::kDirect;
  auto r = co_await client_.Extend(lease_id_, route);
  doubted_ = !r.ok();
  if (r.ok()) {
    last_renewed_ = asked;
    if (!client_.down()) last_renewed_directly_ = asked;
  } else if (r.status == store::Status::kNotFound || r.status == store::Status::kInvalid) {
    spdlog::warn("leadership: the lease has ended");
    lost_ = true;
  }
}

rt::Task<> Leadership::RenewUntilLost() {
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

rt::Task<> Leadership::Hold() {
  rt::Scope term(scope_.loop(), &scope_);
  holding_ = true;
  client_.SetLeading(true);
  term_(term);
  co_await RenewUntilLost();
  term.Cancel();
  co_await term.Join();
  client_.SetLeading(false);
  const uint64_t lease_id = lease_id_;
  token_ = lease_id_ = 0;
  spdlog::info("leadership: term is over");
  // A node that yields since it is refused alone can end its lease only by way of a peer.
  const auto route =
      take_hooks_.allowed ? store::Client::Route::kAny : store::Client::Route::kDirect;
  auto ended = co_await client_.End(lease_id, route);
  (void)ended;
  holding_ = false;
}

rt::Task<> Leadership::AwaitRecordGone(uint64_t lease_id, bool ended) {
  // The watch may have told it already, while the answer was under way.
  if (ended && (!record_ || record_->lease_id != lease_id)) co_return;
  auto pause = wake_.Await(scope_, ttl() / kRenewals);
  co_await pause;
}

std::optional<uint64_t> Leadership::ForgottenLease() const {
  if (!record_) return std::nullopt;
  // Left by the process that ran here before, or by a transaction of ours that got no answer. One
  // process runs per node: nobody else acts under this record.
  const bool own = record_->node == settings_.node;
  if (!own && record_->lease_id != suspected_lease_id_) return std::nullopt;
  return record_->lease_id;
}

rt::Task<> Leadership::EndForgotten(uint64_t lease_id) {
  auto ended = co_await client_.End(lease_id);
  co_await AwaitRecordGone(lease_id, ended.ok());
}

rt::Task<bool> Leadership::AwaitChance() {
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

rt::Task<> Leadership::TryToLead() {
  bool got = co_await Acquire();
  if (got) {
    co_await Hold();
    co_return;
  }
  rt::Sleep pause(scope_, ttl() / kRenewals * retry_jitter_(random_));
  co_await pause;
}

rt::Task<> Leadership::Run() {
  while (!scope_.cancelled()) {
    if (!replica_.loaded()) {
      auto pause = replica_.changed().Await(scope_, ttl());
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

}  // namespace hallpier::lead
