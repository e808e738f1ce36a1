// Decides when a leader that is alive but badly placed resigns in favor of a better placed node,
// and which node that is. Every recent change of the leader doubles the minimum time before the
// next one, so that leadership does not flap when no node is better placed. Does no I/O.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "model/member.h"
#include "wire/peer_messages.h"

namespace hallpier::membership {

struct HandoverDecision {
  std::string to;  // the successor
  std::string reason;
};

class HandoverPolicy {
 public:
  struct Options {
    double heartbeat_interval_s = 0;
    double lease_s = 0;
    // Minimum time between two changes of the leader, in leases.
    double min_handover_interval_leases = 1;
    // How long a leader may depend on relays to reach the state service, in leases.
    double max_relayed_leases = 0;
  };
  explicit HandoverPolicy(Options options) : options_(options) {}

  // Called when any node has become the leader, for whatever reason.
  void OnLeaderChanged(double now);
  // Called after this process was paused: observations from before the pause prove nothing any more
  // and are discarded.
  void OnPause();
  // Part of a heartbeat interval over which nodes count the heartbeats that reach them
  // (LeadershipFitness).
  static constexpr double kHeartbeatCountIntervals = 0.5;

  // Returns the handover that is due. Returns std::nullopt unless a reason has persisted for long
  // enough and the last change of the leader is long enough ago. The time since the last change
  // does not matter if this leader does not reach the state service. Requires that this node leads.
  // `own` is the fitness of this node, `machines` the number of running machines that should send
  // it heartbeats, and `others` the fitness of all nodes that answer.
  std::optional<HandoverDecision> Decide(
      const model::LeadershipFitness& own, size_t machines,
      const std::map<std::string, model::LeadershipFitness>& others, double now);

 private:
  enum class Reason { kStateServiceLost, kWorkersLost, kLoopDelay };
  struct Candidate {
    Reason reason;
    std::string node;
  };
  std::optional<Candidate> FindCandidate(
      const model::LeadershipFitness& own, size_t machines,
      const std::map<std::string, model::LeadershipFitness>& others) const;
  // Returns how long the reason must persist before it leads to a handover.
  double SustainS(Reason reason) const;
  // Returns the minimum time since the last change of the leader.
  double MinIntervalS(double now);
  // True while a handover would follow too soon after earlier changes of the leader.
  bool TooSoon(Reason reason, double now);
  static std::string ReasonText(Reason reason);

  const Options options_;
  std::deque<double> recent_changes_;  // steady times (s) of changes of the leader
  std::optional<Reason> reason_;
  double reason_since_ = 0;
};

}  // namespace hallpier::membership
