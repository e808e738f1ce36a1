#include "membership/handover_policy.h"

#include <algorithm>
#include <cmath>

namespace hallpier::membership {
namespace {

constexpr double kMsPerS = 1000;
// A leader has lost most of its links to workers if it receives less than this share of the
// heartbeats that are due...
constexpr double kMinHeartbeatShare = 0.5;
// ...and other nodes receive at least this share of the heartbeats that it misses.
constexpr double kMinElsewhereShare = 0.5;
// With fewer machines the leader never counts as cut off from its workers, since a few late
// heartbeats would be enough to meet both conditions.
constexpr size_t kMinMachines = 4;
// The event loop counts as delayed if it runs late by more than this part of a heartbeat
// interval...
constexpr double kMaxLoopDelayIntervals = 0.25;
// ...and a node whose delay is smaller by more than this factor is better placed.
constexpr double kLoopDelayImprovement = 4;
// How many heartbeat intervals a reason must persist before it leads to a handover.
constexpr double kSustainIntervals = 0.75;
constexpr double kSustainLoopDelayIntervals = 4;
// A change of the leader counts as recent for this many leases. Recent changes double the minimum
// time before the next handover, at most kMaxDoublings times.
constexpr double kRecentLeases = 8;
constexpr size_t kMaxDoublings = 4;

}  // namespace

void HandoverPolicy::OnLeaderChanged(double now) {
  recent_changes_.push_back(now);
  reason_.reset();
}

void HandoverPolicy::OnPause() { reason_.reset(); }

double HandoverPolicy::MinIntervalS(double now) {
  while (!recent_changes_.empty() &&
         now - recent_changes_.front() > kRecentLeases * options_.lease_s) {
    recent_changes_.pop_front();
  }
  // The change that made this node the leader is not a sign of instability by itself.
  const size_t recent = recent_changes_.empty() ? 0 : recent_changes_.size() - 1;
  const auto doublings = static_cast<double>(std::min(recent, kMaxDoublings));
  return options_.min_handover_interval_leases * options_.lease_s * std::exp2(doublings);
}

double HandoverPolicy::SustainS(Reason reason) const {
  switch (reason) {
    case Reason::kStateServiceLost:
      return options_.max_relayed_leases * options_.lease_s;
    case Reason::kWorkersLost:
      return kSustainIntervals * options_.heartbeat_interval_s;
    case Reason::kLoopDelay:
      return kSustainLoopDelayIntervals * options_.heartbeat_interval_s;
  }
  return 0;
}

std::string HandoverPolicy::ReasonText(Reason reason) {
  switch (reason) {
    case Reason::kStateServiceLost:
      return "the state service answers it only through relays";
    case Reason::kWorkersLost:
      return "most workers report to another node";
    case Reason::kLoopDelay:
      return "its event loop is delayed";
  }
  return "";
}

std::optional<HandoverPolicy::Candidate> HandoverPolicy::FindCandidate(
    const model::LeadershipFitness& own, size_t machines,
    const std::map<std::string, model::LeadershipFitness>& others) const {
  const double expected = kHeartbeatCountIntervals * static_cast<double>(machines);
  const auto received = static_cast<double>(own.recent_heartbeats);
  // A worker that can't reach the leader tries the other nodes one after another, so the heartbeats
  // that all of them receive are counted together.
  double elsewhere = 0;
  for (const auto& [node, fitness] : others) {
    elsewhere += static_cast<double>(fitness.recent_heartbeats);
  }
  const bool workers_lost = machines >= kMinMachines && received < kMinHeartbeatShare * expected &&
                            elsewhere >= kMinElsewhereShare * (expected - received);
  const bool loop_delayed = static_cast<double>(own.event_loop_lag_ms) / kMsPerS >
                            kMaxLoopDelayIntervals * options_.heartbeat_interval_s;
  std::optional<Candidate> best;
  uint64_t most_heartbeats = 0;
  for (const auto& [node, fitness] : others) {
    if (!fitness.reaches_state_service) continue;
    const bool smaller_delay =
        static_cast<double>(fitness.event_loop_lag_ms) * kLoopDelayImprovement <
        static_cast<double>(own.event_loop_lag_ms);
    std::optional<Reason> reason;
    if (!own.reaches_state_service) {
      reason = Reason::kStateServiceLost;
    } else if (workers_lost && fitness.recent_heartbeats > 0) {
      reason = Reason::kWorkersLost;
    } else if (loop_delayed && smaller_delay) {
      reason = Reason::kLoopDelay;
    }
    if (!reason || (best && fitness.recent_heartbeats <= most_heartbeats)) continue;
    best = Candidate{*reason, node};
    most_heartbeats = fitness.recent_heartbeats;
  }
  return best;
}

bool HandoverPolicy::TooSoon(Reason reason, double now) {
  // Without the state service the lease is about to be lost whether or not this node resigns.
  if (reason == Reason::kStateServiceLost || recent_changes_.empty()) return false;
  return now - recent_changes_.back() < MinIntervalS(now);
}

std::optional<HandoverDecision> HandoverPolicy::Decide(
    const model::LeadershipFitness& own, size_t machines,
    const std::map<std::string, model::LeadershipFitness>& others, double now) {
  const std::optional<Candidate> candidate = FindCandidate(own, machines, others);
  if (!candidate) {
    reason_.reset();
    return std::nullopt;
  }
  if (reason_ != candidate->reason) {
    reason_ = candidate->reason;
    reason_since_ = now;
  }
  if (now - reason_since_ < SustainS(candidate->reason)) return std::nullopt;
  if (TooSoon(candidate->reason, now)) return std::nullopt;
  return HandoverDecision{candidate->node, ReasonText(candidate->reason)};
}

}  // namespace hallpier::membership
