// An owner's replica of the machines' state, built from the leader's views. Does no I/O.
//
// The replica may be out of date. The cost is a task start that a worker refuses, or a machine that
// is idle for a moment; team quotas do not depend on it.
#pragma once

#include "fleet/worker_registry.h"
#include "model/ids.h"
#include "wire/peer_messages.h"

namespace hallpier::blocks {

class MachineStateReplica {
 public:
  explicit MachineStateReplica(fleet::WorkerRegistry::Options options) : registry_(options) {}

  // Applies a view and returns the sequence number to acknowledge: that of the view, or 0 if an
  // earlier view was missed. Returns std::nullopt if the view comes from a former leader.
  std::optional<uint64_t> Apply(const wire::BlockView& view, double now);
  fleet::WorkerRegistry& registry() { return registry_; }

 private:
  void RemoveAllMachines();

  fleet::WorkerRegistry registry_;
  model::FencingToken token_;
  uint64_t sequence_ = 0;
};

}  // namespace hallpier::blocks
