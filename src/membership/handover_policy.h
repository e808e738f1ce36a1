// When a leader that is alive but of little use gives the lead to a node that is better placed, and
// to which. Damped: every change of the leader in the recent past doubles the time before the next
// one, so that the lead does not move back and forth where no node fares better. Pure.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "model/member.h"
#include "wire/peer_messages.h"

namespace hallpier::membership {

struct Yield {
  std::string to;
  std::string reason;
};

class HandoverPolicy {
 public:
  struct Options {
    double heartbeat_interval_s = 0;
    double lease_s = 0;
    // Least time between two changes of the leader, in leases.
    double min_handover_interval_leases = 1;
    // How long a leader may go by way of other nodes to the state service, in leases.
    double max_relayed_leases = 0;
  };
  explicit HandoverPolicy(Options options) : options_(options) {}

  // Some node has taken the lead, whyever.
  void OnLeaderChanged(double now);
  // This process was paused: what it counted before says nothing.
  void OnPause();
  // Part of a report period over which nodes count what reaches them (MemberVitals).
  static constexpr double kCountedPart = 0.5;

  // `own`: of this node, which leads; `machines`: those that are up and should report to it.
  // `others`: of all nodes that answer. Something only if a reason has stood for long enough.
  std::optional<Yield> Decide(const model::MemberVitals& own, size_t machines,
                              const std::map<std::string, model::MemberVitals>& others, double now);

 private:
  enum class Reason { kStateService, kWorkers, kTurns };
  struct Candidate {
    Reason reason;
    std::string node;
  };
  std::optional<Candidate> Find(const model::MemberVitals& own, size_t machines,
                                const std::map<std::string, model::MemberVitals>& others) const;
  double SustainS(Reason reason) const;
  double HoldS(double now);
  // True while a change would come too soon after others.
  bool Held(Reason reason, double now);
  static std::string Describe(Reason reason);

  const Options options_;
  std::deque<double> changes_;  // steady times of recent changes of the leader
  std::optional<Reason> reason_;
  double reason_since_ = 0;
};

}  // namespace hallpier::membership
