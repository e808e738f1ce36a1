// Who leads: a key on a lease of the state service. Taking it rewrites the block record in the same
// transaction; that record's version is the token, which therefore grows with every term.
#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "async/event_loop.h"
#include "config/settings.h"
#include "model/ids.h"
#include "model/key_value.h"
#include "store/client.h"
#include "store/records.h"
#include "store/watch_cache.h"

namespace hallpier::election {

class LeaderElection {
 public:
  // A leader that the state service refuses alone renews by way of a peer for this part of the
  // workers' lease: a refusal that comes and goes must not move the lead each time. Beyond that
  // another node leads, since the watch, which brings new jobs, goes by way of no peer.
  static constexpr double kRelayedRatio = 0.25;

  // Runs the duties of a term in the given scope until that is cancelled.
  using Term = std::function<void(async::Scope& scope)>;

  LeaderElection(async::Scope& scope, const config::Settings& settings,
                 const config::Operator& operators, store::Client& client, store::WatchCache& cache,
                 Term term);

  async::Task<> Run();
  // The state service's record of the leader has changed; empty: there is none.
  void OnRecord(const std::string& value);

  bool leading() const { return token_.known(); }
  model::FencingToken token() const { return token_; }
  // True while answers may be given under our token; see the .cc file.
  bool Entitled() const;
  // A leader that has not renewed its lease for longer than this, though no renewal failed, was
  // paused.
  double MaxUnverifiedS() const;
  // Steady time until which another node may have answered workers under an older token.
  double others_until() const { return others_until_; }
  // The node that leads as far as we know; empty: nobody.
  std::string leader() const { return record_ ? record_->node : std::string(); }
  // Somebody knows a higher token: ours is over.
  void Superseded(model::FencingToken token);
  // A node's process has most likely ended. Its lease is ended for it, which is safe even if that
  // is wrong: its token loses, and the successor waits for all that it may still have answered.
  void Suspect(const std::string& node);
  // Says whether all others confirm that the state service is out for everybody.
  void SetOutageConfirmed(std::function<bool()> f) { outage_confirmed_ = std::move(f); }
  // Says whether workers' leases may be renewed without missing a cancellation that was told.
  void SetMayRenew(std::function<bool()> f) { may_renew_ = std::move(f); }
  // What a node's standing among the others says of its taking the lead (src/membership). Without
  // these hooks any node may, at once.
  struct TakeHooks {
    std::function<bool()> allowed;
    // Must hold when the lead is taken, in the same transaction.
    std::function<std::vector<model::Precondition>()> preconditions;
    // How long another node, that is better placed, is left to take it first.
    std::function<double()> delay_s;
  };
  void SetTakeHooks(TakeHooks hooks) { take_hooks_ = std::move(hooks); }
  // True while this node leads, or its lease has not been ended yet after that.
  bool holding() const { return holding_; }
  // The highest token known here.
  model::FencingToken highest() const;
  // Gives the lead to somebody else, and does not take it again for a while.
  void Resign(double pause_s, const std::string& why);
  // Replaces our token by a higher one, which makes every order that is still under way void.
  async::Task<bool> Fence();

 private:
  async::Task<bool> Acquire();
  async::Task<> Hold();
  // Renews the lease until it, or the lead, is lost.
  async::Task<> RenewUntilLost();
  async::Task<> Renew();
  // Ends a lease that nobody holds any more, and waits until its record is gone.
  async::Task<> EndForgotten(uint64_t lease_id);
  async::Task<> AwaitRecordGone(uint64_t lease_id, bool ended);
  // The lease of the present record if this node is to end it: its own former process's, or that
  // of a node that has ended. Nothing: there is no such record.
  std::optional<uint64_t> ForgottenLease() const;
  // Waits while the lead is taken or must not be taken here yet. True: it may be tried now.
  async::Task<bool> AwaitChance();
  async::Task<> TryToLead();
  double ttl() const;

  async::Scope& scope_;
  const config::Settings& settings_;
  const config::Operator& operators_;
  store::Client& client_;
  store::WatchCache& cache_;
  const Term term_;
  std::mt19937 random_{std::random_device{}()};
  std::uniform_real_distribution<double> retry_jitter_{0.5, 1.0};
  std::optional<store::LeaderRecord> record_;
  model::FencingToken token_;
  uint64_t lease_id_ = 0;
  double last_renewed_ = -1;
  double last_renewed_directly_ = -1;
  double others_until_ = 0;
  double not_before_ = 0;
  uint64_t suspected_lease_id_ = 0;
  std::function<bool()> outage_confirmed_;
  std::function<bool()> may_renew_;
  TakeHooks take_hooks_;
  bool lost_ = false;
  bool holding_ = false;
  bool doubted_ = false;  // a renewal has failed since the last that did not
  bool fencing_ = false;
  async::Event wake_;
};

}  // namespace hallpier::election
