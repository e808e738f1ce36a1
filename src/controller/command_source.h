// Computes the commands for a worker, as far as the copy of the records allows it now. Owned by the
// leader; does no I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "controller/node_services.h"
#include "fleet/worker_registry.h"
#include "model/heartbeat.h"

namespace hallpier::controller {

class CommandSource {
 public:
  // Both references must outlive this.
  CommandSource(const NodeServices& services, fleet::WorkerRegistry& registry)
      : services_(services), registry_(registry) {}

  // A term begins, under the election's present token.
  void BeginTerm();
  // True if the copy of the records may be acted upon. It may lag behind what the former leader
  // wrote last: until it has passed this leader's own first write, tasks that it lacks would be
  // stopped, or forgotten, as unrecorded. After a pause of the process it must be complete anew: a
  // task may have been cancelled meanwhile.
  bool CopyIsCurrent() const;
  // The commands for a machine. `direct`: for a direct command, which WorkerRegistry::FinishDirect
  // must follow; else for the answer to a heartbeat.
  std::vector<model::WorkerCommand> CommandsFor(fleet::Machine& machine, bool direct);

 private:
  const NodeServices& services_;
  fleet::WorkerRegistry& registry_;
  uint64_t term_revision_ = 0;  // of the write that began the term
};

}  // namespace hallpier::controller
