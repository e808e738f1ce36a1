// What the leader tells a node of the machines, as far as it has changed. Does no I/O.
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

// All machines as the leader sees them, with those images that unfinished jobs need.
std::vector<model::MachineView> DescribeMachines(const fleet::WorkerRegistry& registry,
                                                 const jobs::JobTable& job_table, double now);

// The messages to one node.
class BlockViewBuilder {
 public:
  // The node is to be told everything anew: its link is new, or it has missed a message.
  void Restart() { sequence_ = 0; }
  void OnAcknowledged(uint64_t sequence) {
    if (sequence == 0) Restart();
  }
  // What the node does not know yet, in messages that fit a frame; at least one, which also renews
  // what it knows. `holder`: its number; nothing: it holds no block and is told no machines.
  std::vector<wire::BlockView> BuildViews(model::FencingToken token,
                                          const BlockAssignment& block_assignment,
                                          std::optional<size_t> holder,
                                          const std::vector<model::MachineView>& machines,
                                          std::vector<model::JobFailures> failures);

 private:
  uint64_t sequence_ = 0;
  std::map<std::string, uint64_t> told_;  // by machine: a hash of what was told last
};

}  // namespace hallpier::blocks
