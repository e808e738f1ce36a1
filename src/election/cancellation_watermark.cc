#include "election/cancellation_watermark.h"

#include <algorithm>
#include <limits>

namespace hallpier::election {
namespace {

// Steady clocks may differ by this much...
constexpr double kDrift = 0.001;
// ...and this part of a report period covers the rest (steps, late timers).
constexpr double kMargin = 1.0 / 3;
// A quiet watch is answered once in a report period; a copy older than this many is out of touch.
constexpr double kQuietReports = 1.5;
// The others are asked before more than this part of the bound is gone.
constexpr double kAsk = 0.75;
constexpr double kNever = -std::numeric_limits<double>::infinity();

double BoundOf(const CancellationWatermark::Options& o) {
  const double bound =
      o.cancel_s * (1 - kDrift) - o.lease_s * (1 + kDrift) - kMargin * o.heartbeat_interval_s;
  // Where cancel_s leaves no room beside a lease, leases alone can't keep it. A leader whose watch
  // is answered must not fall silent between two of its answers all the same.
  return std::max(bound, kQuietReports * o.heartbeat_interval_s);
}

}  // namespace

CancellationWatermark::CancellationWatermark(Options options, std::vector<std::string> others)
    : options_(options), bound_(BoundOf(options)), complete_at_(kNever) {
  for (std::string& node : others) others_[std::move(node)] = {kNever, 0};
}

void CancellationWatermark::OnComplete(double asked) {
  complete_at_ = std::max(complete_at_, asked);
}

wire::CancellationReportRequest CancellationWatermark::RequestFor(const std::string& node,
                                                                  uint64_t revision) const {
  // Revisions count for all nodes alike, so that what was handed over once is handed over whichever
  // process of that node answers next.
  return {std::max(revision, others_.at(node).handed_over)};
}

void CancellationWatermark::OnCancellationReport(
    const std::string& node, double asked, const wire::CancellationReport& cancellation_report) {
  if (!cancellation_report.complete) return;
  Other& other = others_.at(node);
  other.complete_at = std::max(other.complete_at, asked);
  other.handed_over = std::max(other.handed_over, cancellation_report.revision);
}

double CancellationWatermark::KnownAt(double now) const {
  // Nobody speaks for a node but itself: what it told before it lost its links is known to no
  // other.
  double complete_everywhere = now;  // a lone node knows all that was told
  for (const auto& [name, other] : others_)
    complete_everywhere = std::min(complete_everywhere, other.complete_at);
  return std::max(complete_at_, complete_everywhere);
}

bool CancellationWatermark::Stale(double now) const {
  return now - complete_at_ >
         std::min(kQuietReports * options_.heartbeat_interval_s, kAsk * bound_);
}

}  // namespace hallpier::election
