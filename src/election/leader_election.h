// Leader election by a leader record that is attached to a lease of the state service. The
// transaction that creates the leader record also rewrites the fencing token record. The version of
// that record is the fencing token, which therefore increases with every term.
//
// Owned by a node's controller. Runs as one coroutine in the node's scope on its event loop thread.
#pragma once

#include <functional>
#include <limits>
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
  // While the state service refuses only the leader's requests, the leader renews its lease via a
  // peer for at most this share of the workers' lease. A short refusal must not cause a change of
  // leader each time. After a longer one another node must lead, since the watch, which delivers
  // new jobs, can't be relayed via a peer.
  static constexpr double kMaxRelayedRenewalRatio = 0.25;

  // Starts the leader's work in the given scope, which is cancelled when the term ends.
  using TermStarter = std::function<void(async::Scope& scope)>;

  // All references must outlive the election. `policy` is not queried before Run() is started.
  LeaderElection(async::Scope& scope, const config::Settings& settings,
                 const config::OperatorOptions& operator_options, store::Client& client,
                 store::WatchCache& cache, const ElectionPolicy& policy, TermStarter start_term);

  // The coroutine of the election. Runs until the scope is cancelled.
  async::Task<> Run();
  // Called when the leader record in the state service has changed; `value` is empty if the record
  // does not exist.
  void OnLeaderRecord(const std::string& value);
  // Called with a token that another node or the watch cache has reported. Ends the term of this
  // node if the token is higher than its own, except while this node raises its token (RaiseToken).
  void OnTokenSeen(model::FencingToken token);
  // Called when a node's process has most likely ended. If that node is the leader, its lease is
  // revoked on its behalf. This is safe even if the process is still running: its transactions have
  // a precondition on its old token and fail, and its successor waits out all leases of workers
  // that the process may still have renewed by answering them.
  void OnNodeFailed(const std::string& node);

  // Returns true while this node has a token, whether or not it may still act under it.
  bool leading() const { return token_.is_set(); }
  // The token of this node; not set while it is not the leader.
  model::FencingToken token() const { return token_; }
  // Returns the higher of this node's own token and the token in its watch cache.
  model::FencingToken HighestToken() const;
  // Returns true while this node may answer workers and send commands to the cloud under its token.
  bool MayAct() const;
  // Returns the maximum seconds since the last renewal while no renewal has failed. If the last
  // renewal of a leader is older and none has failed, its process was paused.
  double MaxRenewalGapS() const;
  // Steady time (s) until which a former leader may have answered workers under an older token.
  double predecessor_answers_until() const { return predecessor_answers_until_; }
  // Returns the leader according to the record known to this node; empty if there is none.
  std::string leader() const { return leader_record_ ? leader_record_->node : std::string(); }
  // Steady time (s) at which this node last learned that the term of another node had ended; minus
  // infinity if it has seen none end.
  double other_leader_ended_at() const { return other_leader_ended_at_; }
  // Returns true during a term of this node, and after it until the attempt to revoke its lease has
  // finished.
  bool holds_lease() const { return holds_lease_; }

  // Gives up leadership and does not acquire it again for `pause_s` seconds. `reason` is logged.
  void Resign(double pause_s, const std::string& reason);
  // Replaces the token by a higher one, which invalidates all start commands still in flight.
  // Returns false if the transaction was rejected or not answered. If it was committed
  // nevertheless, the term ends as soon as this node learns of the higher token.
  async::Task<bool> RaiseToken();

 private:
  async::Task<bool> Acquire();
  // Sets the state of a new term. `requested_at`: when its lease was requested (steady time, s).
  void BeginTerm(model::FencingToken token, uint64_t lease_id, double requested_at);
  async::Task<> RunTerm();
  // Renews the lease until the lease or the leadership is lost.
  async::Task<> RenewUntilLost();
  async::Task<> Renew();
  // Revokes a lease whose holder has ended, and waits for the removal of the leader record.
  async::Task<> RevokeOrphanedLease(uint64_t lease_id);
  async::Task<> AwaitRecordRemoval(uint64_t lease_id, bool revoked);
  // Returns the lease of the current leader record if this node must revoke it, because the holder
  // is a former process of this node or a failed node. std::nullopt otherwise.
  std::optional<uint64_t> OrphanedLease() const;
  // Waits while a leader record exists or this node may not become leader yet. Returns true if it
  // may try to acquire leadership now, and false if the caller must check again.
  async::Task<bool> AwaitEligibility();
  async::Task<> AcquireAndRunTerm();
  // Returns the time to live of the leader's lease in seconds.
  double LeaseTtlS() const;
  // Returns the seconds between two renewals.
  double RenewalIntervalS() const;
  // Returns the seconds after the last renewal during which the leader answers workers while the
  // state service is unreachable.
  double OutageAnswerWindowS() const;

  async::Scope& scope_;
  const config::Settings& settings_;
  const config::OperatorOptions& operator_options_;
  store::Client& client_;
  store::WatchCache& cache_;
  const ElectionPolicy& policy_;
  const TermStarter start_term_;
  std::mt19937 random_{std::random_device{}()};
  std::uniform_real_distribution<double> retry_jitter_{0.5, 1.0};
  std::optional<store::LeaderRecord> leader_record_;
  model::FencingToken token_;
  uint64_t lease_id_ = 0;
  double last_renewal_ = -1;         // steady time of the request of the last successful renewal
  double last_direct_renewal_ = -1;  // the same, for renewals not relayed by a peer
  double predecessor_answers_until_ = 0;
  double earliest_reacquire_ = 0;  // steady time
  double other_leader_ended_at_ = -std::numeric_limits<double>::infinity();
  uint64_t failed_node_lease_id_ = 0;
  bool lost_ = false;  // leadership was lost or given up: the term must end
  bool holds_lease_ = false;
  bool renewal_failing_ = false;  // the last renewal failed
  bool raising_token_ = false;
  async::Event wake_;
};

}  // namespace hallpier::election
