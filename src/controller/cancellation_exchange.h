// Exchanges cancellations with the other nodes, so that a leader which the key-value store does not
// answer learns of those that others have acknowledged to users. Guards the renewal of workers'
// leases (election/cancellation_watermark.h). Owned by the controller; does no I/O of its own.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "controller/node_services.h"
#include "election/cancellation_watermark.h"
#include "wire/peer_messages.h"

namespace hallpier::controller {

class CancellationExchange {
 public:
  // `pending_cancellations`: how many cancellations this node is recording just now. `services`
  // must outlive this.
  CancellationExchange(const NodeServices& services, std::function<int()> pending_cancellations);

  // What a node is to be asked for now; nothing: there is no need, or this node does not lead.
  std::optional<wire::CancellationReportRequest> RequestFor(const std::string& node);
  // The answer to a leader that the key-value store does not answer.
  wire::CancellationReport Report(const wire::CancellationReportRequest& request) const;
  // A node's answer to a request that was sent at `asked` (steady time, s).
  void OnReport(const std::string& node, double asked, const wire::CancellationReport& report);
  // A cancellation that was recorded by way of another node, ahead of the watch.
  void OnCancellation(const wire::Cancellation& cancellation) const;
  // True while workers' leases may be renewed without missing an acknowledged cancellation.
  bool MayRenewWorkerLeases();

 private:
  const NodeServices& services_;
  const std::function<int()> pending_cancellations_;
  election::CancellationWatermark watermark_;
};

}  // namespace hallpier::controller
