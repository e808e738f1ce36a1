// Builds the messages by which the leader tells another node what changed in the machines' state.
// Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "blocks/block_assignment.h"
#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "model/ids.h"
#include "model/machine_view.h"
#include "wire/peer_messages.h"

namespace hallpier::blocks {

// Describes all machines that have reported to the leader. Each description lists only those of
// the machine's images that unfinished jobs need.
std::vector<model::MachineView> DescribeMachines(const fleet::WorkerRegistry& registry,
                                                 const jobs::JobTable& job_table, double now);

// Builds the views for one node and remembers what was sent to it.
class BlockViewBuilder {
 public:
  // Makes the next views complete, because the link is new or the node missed a view.
  void Restart() { sequence_ = 0; }
  // `sequence` is 0 if the node missed a view.
  void OnAcknowledged(uint64_t sequence) {
    if (sequence == 0) Restart();
  }
  // Returns the changes since the last call, as views that each fit into a frame. There is at least
  // one view, which also confirms everything sent before. `owner`: the node's index among the
  // owners; if std::nullopt, it owns no block and no machines are sent.
  std::vector<wire::BlockView> BuildViews(model::FencingToken token,
                                          const BlockAssignment& block_assignment,
                                          std::optional<size_t> owner,
                                          const std::vector<model::MachineView>& machines,
                                          std::vector<model::JobFailures> failures);

 private:
  uint64_t sequence_ = 0;
  std::map<std::string, uint64_t> sent_hashes_;  // by machine: a hash of its last view
};

}  // namespace hallpier::blocks
