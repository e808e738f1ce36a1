#include "controller/cancellation_exchange.h"

#include <spdlog/spdlog.h>

#include "store/keys.h"
#include "store/records.h"
#include "wire/peer_codec.h"

namespace hallpier::controller {

CancellationExchange::CancellationExchange(const NodeServices& services,
                                           std::function<int()> pending_cancellations)
    : services_(services),
      pending_cancellations_(std::move(pending_cancellations)),
      watermark_({services.settings->cancel_s, services.settings->lease_s,
                  services.settings->heartbeat_interval_s},
                 services.settings->OtherNodes()) {}

std::optional<wire::CancellationReportRequest> CancellationExchange::RequestFor(
    const std::string& node) {
  watermark_.OnCacheConfirmed(services_.cache->current_as_of());
  const double now = services_.scope->loop().Now();
  const bool out_of_touch = services_.client->down() || watermark_.CacheIsStale(now);
  if (!services_.election->leading() || !out_of_touch) return std::nullopt;
  return watermark_.RequestFor(node, services_.cache->revision());
}

wire::CancellationReport CancellationExchange::Report(
    const wire::CancellationReportRequest& request) const {
  wire::CancellationReport report;
  report.revision = services_.cache->revision();
  for (const std::string& id : services_.job_table->CancelledJobs()) {
    const uint64_t version = services_.cache->Version(store::JobKey(id));
    if (version > request.beyond) report.cancelled.push_back({id, version});
  }
  // A process that was restarted and has read nothing since does not know what its predecessor
  // acknowledged. Nor is it known yet what becomes of a cancellation that is being recorded:
  // without an answer it is acknowledged to nobody, and whoever reads it later has it in its copy
  // before it acknowledges it.
  report.complete = services_.cache->loaded() && pending_cancellations_() == 0 &&
                    report.cancelled.size() <= wire::kMaxCancellations;
  if (!report.complete) report.cancelled.clear();
  return report;
}

void CancellationExchange::OnReport(const std::string& node, double asked,
                                    const wire::CancellationReport& report) {
  // Applied first: leases may be renewed on the strength of the report only once the commands that
  // stop its tasks go out.
  for (const wire::Cancellation& cancellation : report.cancelled) OnCancellation(cancellation);
  watermark_.OnCancellationReport(node, asked, report);
}

void CancellationExchange::OnCancellation(const wire::Cancellation& cancellation) const {
  // A job that is not known here has no tasks of ours; its record will arrive with the
  // cancellation.
  auto record = services_.job_table->CancelledRecord(cancellation.job);
  if (!record) return;
  spdlog::info("cancel: reported by a peer job={}", cancellation.job);
  services_.cache->Apply(store::JobKey(cancellation.job), store::WriteJob(*record),
                         cancellation.version);
}

bool CancellationExchange::MayRenewWorkerLeases() {
  watermark_.OnCacheConfirmed(services_.cache->current_as_of());
  return watermark_.MayRenewLeases(services_.scope->loop().Now());
}

}  // namespace hallpier::controller
