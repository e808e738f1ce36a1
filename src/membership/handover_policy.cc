#include "membership/handover_policy.h"

#include <algorithm>
#include <cmath>

namespace hallpier::membership {
namespace {

constexpr double kMsPerS = 1000;
// A leader that hears less than this part of the reports that are due has lost most links to
// workers...
constexpr double kHeardPart = 0.5;
// ...if others get at least this part of the reports that it misses.
constexpr double kElsewherePart = 0.5;
// With fewer machines than this a few late reports decide nothing.
constexpr size_t kLeastMachines = 4;
// Turns that come later than this part of a report period are hardly any...
constexpr double kLateTurnPart = 0.25;
// ...and a node whose own come sooner by this factor is better placed.
constexpr double kBetterTurns = 4;
// A reason must stand for so many report periods.
constexpr double kSustainReports = 0.75;
constexpr double kSustainTurnsReports = 4;
// Changes of the leader count for so many leases, and double the hold at most so often.
constexpr double kRecentLeases = 8;
constexpr size_t kMaxDoublings = 4;

}  // namespace

void HandoverPolicy::OnLeaderChanged(double now) {
  changes_.push_back(now);
  reason_.reset();
}

void HandoverPolicy::OnPause() { reason_.reset(); }

double HandoverPolicy::HoldS(double now) {
  while (!changes_.empty() && now - changes_.front() > kRecentLeases * options_.lease_s) {
    changes_.pop_front();
  }
  // The change that made this node the leader is no sign of instability by itself.
  const size_t recent = changes_.empty() ? 0 : changes_.size() - 1;
  const auto doublings = static_cast<double>(std::min(recent, kMaxDoublings));
  return options_.min_handover_interval_leases * options_.lease_s * std::exp2(doublings);
}

double HandoverPolicy::SustainS(Reason reason) const {
  switch (reason) {
    case Reason::kStateService:
      return options_.max_relayed_leases * options_.lease_s;
    case Reason::kWorkers:
      return kSustainReports * options_.heartbeat_interval_s;
    case Reason::kTurns:
      return kSustainTurnsReports * options_.heartbeat_interval_s;
  }
  return 0;
}

std::string HandoverPolicy::Describe(Reason reason) {
  switch (reason) {
    case Reason::kStateService:
      return "the state service answers it by way of others only";
    case Reason::kWorkers:
      return "most workers reach another node";
    case Reason::kTurns:
      return "it hardly gets any turns";
  }
  return "";
}

std::optional<HandoverPolicy::Candidate> HandoverPolicy::Find(
    const model::MemberVitals& own, size_t machines,
    const std::map<std::string, model::MemberVitals>& others) const {
  const double expected = kCountedPart * static_cast<double>(machines);
  const auto heard = static_cast<double>(own.worker_reports);
  // A worker that can't reach the leader tries the others in turn, so that they are one count.
  double elsewhere = 0;
  for (const auto& [node, vitals] : others) {
    elsewhere += static_cast<double>(vitals.worker_reports);
  }
  const bool workers_lost = machines >= kLeastMachines && heard < kHeardPart * expected &&
                            elsewhere >= kElsewherePart * (expected - heard);
  const bool late = static_cast<double>(own.turn_delay_ms) / kMsPerS >
                    kLateTurnPart * options_.heartbeat_interval_s;
  std::optional<Candidate> best;
  uint64_t best_reports = 0;
  for (const auto& [node, vitals] : others) {
    if (!vitals.state_direct) continue;
    const bool better_turns = static_cast<double>(vitals.turn_delay_ms) * kBetterTurns <
                              static_cast<double>(own.turn_delay_ms);
    std::optional<Reason> reason;
    if (!own.state_direct) {
      reason = Reason::kStateService;
    } else if (workers_lost && vitals.worker_reports > 0) {
      reason = Reason::kWorkers;
    } else if (late && better_turns) {
      reason = Reason::kTurns;
    }
    if (!reason || (best && vitals.worker_reports <= best_reports)) continue;
    best = Candidate{*reason, node};
    best_reports = vitals.worker_reports;
  }
  return best;
}

bool HandoverPolicy::Held(Reason reason, double now) {
  // Without the state service the lease is about to be lost whatever is decided here.
  if (reason == Reason::kStateService || changes_.empty()) return false;
  return now - changes_.back() < HoldS(now);
}

std::optional<Yield> HandoverPolicy::Decide(
    const model::MemberVitals& own, size_t machines,
    const std::map<std::string, model::MemberVitals>& others, double now) {
  const std::optional<Candidate> candidate = Find(own, machines, others);
  if (!candidate) {
    reason_.reset();
    return std::nullopt;
  }
  if (reason_ != candidate->reason) {
    reason_ = candidate->reason;
    reason_since_ = now;
  }
  if (now - reason_since_ < SustainS(candidate->reason)) return std::nullopt;
  if (Held(candidate->reason, now)) return std::nullopt;
  return Yield{candidate->node, Describe(candidate->reason)};
}

}  // namespace hallpier::membership
