#include "election/cancellation_watermark.h"

#include <algorithm>
#include <limits>

namespace hallpier::election {
namespace {

// Steady clocks of two machines may differ by this part.
constexpr double kDrift = 0.001;
// This part of a heartbeat interval covers the rest: clock steps and late timers.
constexpr double kMargin = 1.0 / 3;
// A watch without events is answered once in a heartbeat interval; a copy that has not been
// confirmed for this many of them is out of touch.
constexpr double kQuietHeartbeats = 1.5;
// The others are asked before more than this part of the bound has passed.
constexpr double kAskAfter = 0.75;
constexpr double kNever = -std::numeric_limits<double>::infinity();

double RenewalBoundS(const CancellationWatermark::Options& options) {
  const double bound = options.cancel_s * (1 - kDrift) - options.lease_s * (1 + kDrift) -
                       kMargin * options.heartbeat_interval_s;
  // Where cancel_s leaves no room beside a lease, leases alone can't keep it. A leader whose watch
  // is answered must not fall silent between two of its answers all the same.
  return std::max(bound, kQuietHeartbeats * options.heartbeat_interval_s);
}

}  // namespace

CancellationWatermark::CancellationWatermark(Options options, std::vector<std::string> other_nodes)
    : options_(options), renewal_bound_s_(RenewalBoundS(options)), copy_complete_at_(kNever) {
  for (std::string& node : other_nodes) reported_[std::move(node)] = {kNever, 0};
}

void CancellationWatermark::OnCacheConfirmed(double asked) {
  copy_complete_at_ = std::max(copy_complete_at_, asked);
}

wire::CancellationReportRequest CancellationWatermark::RequestFor(const std::string& node,
                                                                  uint64_t revision) const {
  // Revisions are the same on all nodes. What one process of that node has reported is therefore
  // known here, whichever process of it answers next.
  return {std::max(revision, reported_.at(node).known_through)};
}

void CancellationWatermark::OnCancellationReport(
    const std::string& node, double asked, const wire::CancellationReport& cancellation_report) {
  if (!cancellation_report.complete) return;
  Reported& reported = reported_.at(node);
  reported.complete_at = std::max(reported.complete_at, asked);
  reported.known_through = std::max(reported.known_through, cancellation_report.revision);
}

double CancellationWatermark::Watermark(double now) const {
  // Only a node itself can report what it acknowledged: after it lost its links to the others and
  // the store, nobody else knows. So the node whose report is oldest decides.
  double complete_everywhere = now;  // a lone node knows all that was acknowledged
  for (const auto& [node, reported] : reported_) {
    complete_everywhere = std::min(complete_everywhere, reported.complete_at);
  }
  return std::max(copy_complete_at_, complete_everywhere);
}

bool CancellationWatermark::CacheIsStale(double now) const {
  return now - copy_complete_at_ >
         std::min(kQuietHeartbeats * options_.heartbeat_interval_s, kAskAfter * renewal_bound_s_);
}

}  // namespace hallpier::election
