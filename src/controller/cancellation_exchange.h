// Exchanges cancellations with the other nodes, so that a leader that can't reach the state service
// learns of the cancellations that others have acknowledged to users. Decides whether workers'
// leases may be renewed (election/cancellation_watermark.h). Owned by the controller; does no I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "controller/node_services.h"
#include "election/cancellation_watermark.h"
#include "wire/peer_messages.h"

namespace hallpier::controller {

class CancellationExchange {
 public:
  // `pending_cancellations` returns the number of cancellations that this node is currently
  // recording. `services` must outlive this object.
  CancellationExchange(const NodeServices& services, std::function<int()> pending_cancellations);

  // Returns the report request to send to a node now, or std::nullopt if no report is needed or
  // this node does not lead.
  std::optional<wire::CancellationReportRequest> BuildReportRequest(const std::string& node);
  // Returns this node's report to a leader that can't reach the state service.
  wire::CancellationReport BuildReport(const wire::CancellationReportRequest& request) const;
  // Handles a node's response to a request that was sent at `requested_at` (steady time, s).
  void OnReport(const std::string& node, double requested_at,
                const wire::CancellationReport& report);
  // Applies a cancellation that another node has recorded, ahead of the watch.
  void OnCancellation(const wire::Cancellation& cancellation);
  // True while workers' leases may be renewed without missing an acknowledged cancellation.
  bool MayRenewWorkerLeases();
  // True while tasks of a job may be started without missing an acknowledged cancellation.
  bool MayStartTasks(const std::string& job);

 private:
  const NodeServices& services_;
  const std::function<int()> pending_cancellations_;
  election::CancellationWatermark watermark_;
  // Cancelled jobs, with the revision of the cancellation, that this node did not know when it
  // learned of the cancellation. Kept until the watch cache has reached that revision.
  std::map<std::string, uint64_t> unknown_cancelled_jobs_;
};

}  // namespace hallpier::controller
