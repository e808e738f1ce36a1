// What a node that holds a block knows of its machines: the leader's views, put together. Does no
// I/O.
//
// It may be out of date. That costs a start that a worker refuses, or a machine that stays idle for
// a moment; limits do not depend on it.
#pragma once

#include "fleet/worker_registry.h"
#include "model/ids.h"
#include "wire/peer_messages.h"

namespace hallpier::blocks {

class MachineStateReplica {
 public:
  explicit MachineStateReplica(fleet::WorkerRegistry::Options options) : registry_(options) {}

  // Takes in a view. Returns the number to acknowledge: its own, or 0 if one before it was missed;
  // nothing: it comes from a leader that was followed by another.
  std::optional<uint64_t> Apply(const wire::BlockView& view, double now);
  fleet::WorkerRegistry& registry() { return registry_; }

 private:
  void Forget();

  fleet::WorkerRegistry registry_;
  model::FencingToken token_;
  uint64_t sequence_ = 0;
};

}  // namespace hallpier::blocks
