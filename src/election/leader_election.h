// Elects the leader: a key on a lease of the key-value store. Taking it rewrites the record of the
// fencing token in the same transaction; that record's version is the token, which therefore grows
// with every term.
//
// Owned by the controller of a node; runs as one routine of that node's scope, on the thread of its
// event loop.
#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "async/wait.h"
#include "config/operator_options.h"
#include "config/settings.h"
#include "election/election_policy.h"
#include "model/ids.h"
#include "model/key_value.h"
#include "store/client.h"
#include "store/records.h"
#include "store/watch_cache.h"

namespace hallpier::election {

class LeaderElection {
 public:
  // A leader that the key-value store refuses alone renews its lease by way of a peer for at most
  // this part of the workers' lease. A short refusal must not move the lead each time; beyond that
  // another node leads, since the watch, which brings new jobs, has no way round by a peer.
  static constexpr double kMaxRelayedRenewalRatio = 0.25;

  // Starts the duties of a term in the given scope, which is cancelled when the term ends.
  using TermStarter = std::function<void(async::Scope& scope)>;

  // All references must outlive the election. `policy` is only asked once Run() has been started.
  LeaderElection(async::Scope& scope, const config::Settings& settings,
                 const config::OperatorOptions& operators, store::Client& client,
                 store::WatchCache& cache, const ElectionPolicy& policy, TermStarter start_term);

  // The election's routine: runs until the scope is cancelled.
  async::Task<> Run();
  // The leader record in the key-value store has changed; empty: there is none.
  void OnLeaderRecord(const std::string& value);
  // Another node, or the copy of the records, knows this token. If it is higher than ours, our term
  // ends.
  void OnTokenSeen(model::FencingToken token);
  // A node's process has most likely ended. If it leads, its lease is revoked on its behalf. That
  // is safe even if the node lives: its token loses every transaction, and its successor waits for
  // all that it may still have answered.
  void OnNodeFailed(const std::string& node);

  // True while this node holds a token, whether or not it may still act under it.
  bool leading() const { return token_.known(); }
  // Our token; unknown while this node does not lead.
  model::FencingToken token() const { return token_; }
  // The highest token that this node knows of, its own or another's.
  model::FencingToken HighestToken() const;
  // True while workers may be answered, and the cloud be commanded, under our token.
  bool MayAct() const;
  // Seconds: a leader that has not renewed its lease for longer, though no renewal has failed, was
  // paused.
  double MaxRenewalGapS() const;
  // Steady time (s) until which a former leader may have answered workers under an older token.
  double predecessor_answers_until() const { return predecessor_answers_until_; }
  // The node that leads as far as is known here; empty: none.
  std::string leader() const { return record_ ? record_->node : std::string(); }
  // True while this node leads, and after that until its lease has been revoked.
  bool holds_lease() const { return holds_lease_; }

  // Gives up the lead, and does not take it again for `pause_s` seconds. `reason`: for the log.
  void Resign(double pause_s, const std::string& reason);
  // Replaces our token by a higher one, which voids every start command that is still under way.
  // False: no answer, or refused; if it was carried out all the same, the term ends.
  async::Task<bool> RaiseToken();

 private:
  async::Task<bool> Acquire();
  // Takes note of a term that began. `asked`: when its lease was requested (steady time, s).
  void BeginTerm(model::FencingToken token, uint64_t lease_id, double asked);
  async::Task<> RunTerm();
  // Renews the lease until it, or the lead, is lost.
  async::Task<> RenewUntilLost();
  async::Task<> Renew();
  // Revokes a lease whose holder has ended, and waits until its record is gone.
  async::Task<> RevokeOrphanedLease(uint64_t lease_id);
  async::Task<> AwaitRecordGone(uint64_t lease_id, bool revoked);
  // The lease of the present record if this node is to revoke it: that of its own former process,
  // or of a node that has ended. Nothing: there is no such record.
  std::optional<uint64_t> OrphanedLease() const;
  // Waits while the lead is taken or must not be taken here yet. True: it may be tried now.
  async::Task<bool> AwaitVacancy();
  async::Task<> TryToLead();
  // Length of the leader's lease in seconds.
  double LeaseTtlS() const;
  // Seconds between two renewals.
  double RenewalIntervalS() const;
  // Seconds since the last renewal for which workers are answered while the store is out of reach.
  double UnverifiedAnswersS() const;

  async::Scope& scope_;
  const config::Settings& settings_;
  const config::OperatorOptions& operators_;
  store::Client& client_;
  store::WatchCache& cache_;
  const ElectionPolicy& policy_;
  const TermStarter start_term_;
  std::mt19937 random_{std::random_device{}()};
  std::uniform_real_distribution<double> retry_jitter_{0.5, 1.0};
  std::optional<store::LeaderRecord> record_;
  model::FencingToken token_;
  uint64_t lease_id_ = 0;
  double last_renewed_ = -1;           // steady time at which the last good renewal was requested
  double last_renewed_directly_ = -1;  // the same without the help of a peer
  double predecessor_answers_until_ = 0;
  double earliest_retake_ = 0;  // steady time before which the lead is not taken again
  uint64_t failed_nodes_lease_id_ = 0;
  bool lost_ = false;  // the term is to end
  bool holds_lease_ = false;
  bool renewal_failing_ = false;  // the last renewal failed
  bool raising_token_ = false;
  async::Event wake_;
};

}  // namespace hallpier::election
