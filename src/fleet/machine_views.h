// Descriptions of machines by which the leader lets another controller plan for a shard of the
// machines whose heartbeats that controller does not receive.
//
// The leader describes its machines; the other controller applies the descriptions to a
// WorkerRegistry of its own. Both run on the event loop's thread. No I/O.
#pragma once

#include <string>
#include <vector>

#include "fleet/worker_registry.h"
#include "model/machine_view.h"

namespace hallpier::fleet {

// The leader's side: describes a machine as of `now`. `images`: those worth mentioning if the
// machine has them.
model::MachineView DescribeMachine(const WorkerRegistry& registry, const Machine& machine,
                                   const std::vector<std::string>& images, double now);

// The other side: replaces what is known of a machine, or adds it.
void ApplyMachineView(WorkerRegistry& registry, const model::MachineView& view, double now);

// The other side: a message of the leader has been applied, and whatever the message left out has
// not changed. All machines are as fresh as the message.
void MarkMachinesFresh(WorkerRegistry& registry, double now);

}  // namespace hallpier::fleet
