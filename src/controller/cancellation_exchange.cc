#include "controller/cancellation_exchange.h"

#include <spdlog/spdlog.h>

#include <algorithm>

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

std::optional<wire::CancellationReportRequest> CancellationExchange::BuildReportRequest(
    const std::string& node) {
  watermark_.OnCacheConfirmed(services_.cache->current_as_of());
  const double now = services_.scope->loop().Now();
  const bool needs_reports = services_.client->down() || watermark_.CacheIsStale(now);
  if (!services_.election->leading() || !needs_reports) return std::nullopt;
  return watermark_.BuildReportRequest(node, services_.cache->revision());
}

wire::CancellationReport CancellationExchange::BuildReport(
    const wire::CancellationReportRequest& request) const {
  wire::CancellationReport report;
  report.revision = services_.cache->revision();
  for (const std::string& id : services_.job_table->CancelledJobs()) {
    const uint64_t version = services_.cache->Version(store::JobKey(id));
    if (version > request.after_revision) report.cancelled.push_back({id, version});
  }
  // The report is incomplete if this process was restarted and has not loaded the records since: it
  // does not know which cancellations the former process acknowledged. It is also incomplete while
  // a cancellation is being recorded, since the outcome is not known yet. A cancellation whose
  // write gets no response is not acknowledged to any user. If a node reads that cancellation
  // later, the node's watch cache contains it before the node acknowledges it to a user.
  report.complete = services_.cache->loaded() && pending_cancellations_() == 0 &&
                    report.cancelled.size() <= wire::kMaxCancellationsPerFrame;
  if (!report.complete) report.cancelled.clear();
  return report;
}

void CancellationExchange::OnReport(const std::string& node, double requested_at,
                                    const wire::CancellationReport& report) {
  // The cancellations are applied first: leases may be renewed on the basis of the report only once
  // the commands that stop the cancelled tasks are being sent.
  for (const wire::Cancellation& cancellation : report.cancelled) OnCancellation(cancellation);
  watermark_.OnCancellationReport(node, requested_at, report);
}

void CancellationExchange::OnCancellation(const wire::Cancellation& cancellation) {
  // The record of a job that is unknown here may still arrive in a version from before the
  // cancellation.
  if (services_.job_table->Find(cancellation.job) == nullptr &&
      services_.cache->revision() < cancellation.version) {
    uint64_t& version = unknown_cancelled_jobs_[cancellation.job];
    version = std::max(version, cancellation.version);
  }
  auto record = services_.job_table->CancelledRecord(cancellation.job);
  if (!record) return;
  spdlog::info("cancel: reported by a peer job={}", cancellation.job);
  services_.cache->ApplyAheadOfWatch(store::JobKey(cancellation.job), store::WriteJob(*record),
                                     cancellation.version);
}

bool CancellationExchange::MayRenewWorkerLeases() {
  watermark_.OnCacheConfirmed(services_.cache->current_as_of());
  return watermark_.MayRenewLeases(services_.scope->loop().Now());
}

bool CancellationExchange::MayStartTasks(const std::string& job) {
  watermark_.OnCacheConfirmed(services_.cache->current_as_of());
  std::erase_if(unknown_cancelled_jobs_,
                [this](const auto& entry) { return entry.second <= services_.cache->revision(); });
  return !unknown_cancelled_jobs_.contains(job) &&
         watermark_.MayStartTasks(services_.scope->loop().Now());
}

}  // namespace hallpier::controller
