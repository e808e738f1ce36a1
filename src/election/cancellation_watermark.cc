#include "election/cancellation_watermark.h"

#include <algorithm>
#include <limits>

#include "election/start_lease.h"

namespace hallpier::election {
namespace {

// Largest relative difference in rate between the steady clocks of two machines.
constexpr double kMaxClockDriftRatio = 0.001;
// Share of a heartbeat interval that covers clock steps and late timers.
constexpr double kTimerMarginRatio = 1.0 / 3;
// A watch without events is answered once per heartbeat interval. A watch cache is stale if the
// time as of which it was last confirmed is more than this many intervals ago.
constexpr double kMaxQuietHeartbeats = 1.5;
// Share of the renewal bound after which an unconfirmed watch cache is stale in any case, so that
// reports are requested before the bound is reached.
constexpr double kMaxUnconfirmedRatio = 0.75;
constexpr double kNever = -std::numeric_limits<double>::infinity();

double RenewalBoundS(const CancellationWatermark::Options& options) {
  const double bound = options.cancel_s * (1 - kMaxClockDriftRatio) -
                       options.lease_s * (1 + kMaxClockDriftRatio) -
                       kTimerMarginRatio * options.heartbeat_interval_s;
  // If cancel_s leaves no time besides one lease, leases alone can't guarantee cancel_s. The bound
  // has a minimum nevertheless: a leader whose watch is answered must not stop answering workers
  // between two responses of the watch.
  return std::max(bound, kMaxQuietHeartbeats * options.heartbeat_interval_s);
}

}  // namespace

CancellationWatermark::CancellationWatermark(Options options, std::vector<std::string> other_nodes)
    : options_(options), renewal_bound_s_(RenewalBoundS(options)), cache_confirmed_at_(kNever) {
  for (std::string& node : other_nodes) reports_[std::move(node)] = {kNever, 0};
}

void CancellationWatermark::OnCacheConfirmed(double as_of) {
  cache_confirmed_at_ = std::max(cache_confirmed_at_, as_of);
}

wire::CancellationReportRequest CancellationWatermark::BuildReportRequest(const std::string& node,
                                                                          uint64_t revision) const {
  // A revision means the same on all nodes and in all their processes. Cancellations up to a
  // reported revision therefore need not be reported again, even if another process of that node
  // answers this request.
  return {std::max(revision, reports_.at(node).known_through)};
}

void CancellationWatermark::OnCancellationReport(
    const std::string& node, double requested_at,
    const wire::CancellationReport& cancellation_report) {
  if (!cancellation_report.complete) return;
  NodeReport& report = reports_.at(node);
  report.complete_at = std::max(report.complete_at, requested_at);
  report.known_through = std::max(report.known_through, cancellation_report.revision);
}

double CancellationWatermark::Watermark(double now) const {
  // Only the node itself can report which cancellations it has acknowledged: once it has lost its
  // connections to the other nodes and to the state service, no other node can report them. So the
  // oldest report decides.
  double oldest_report_at = now;  // without other nodes, all acknowledged cancellations are known
  for (const auto& [node, report] : reports_) {
    oldest_report_at = std::min(oldest_report_at, report.complete_at);
  }
  // A confirmed watch cache needs no reports: a cancellation is recorded before it is acknowledged.
  return std::max(cache_confirmed_at_, oldest_report_at);
}

bool CancellationWatermark::MayStartTasks(double now) const {
  return now <= Watermark(now) + kStartLeaseS;
}

bool CancellationWatermark::CacheIsStale(double now) const {
  return now - cache_confirmed_at_ > std::min(kMaxQuietHeartbeats * options_.heartbeat_interval_s,
                                              kMaxUnconfirmedRatio * renewal_bound_s_);
}

}  // namespace hallpier::election
