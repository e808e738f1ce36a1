// Conversion between machines in a WorkerRegistry and the machine views that the leader sends to
// other controllers. Heartbeats arrive at the leader only. The views let another controller plan
// for a block of machines.
//
// The leader describes its machines; the receiving controller applies the views to a separate
// WorkerRegistry. Both run on the event loop's thread. No I/O.
#pragma once

#include <string>
#include <vector>

#include "fleet/worker_registry.h"
#include "model/machine_view.h"

namespace hallpier::fleet {

// Leader: returns the view of a machine at time `now`. Of the machine's images, the view names only
// those in `images`.
model::MachineView DescribeMachine(const WorkerRegistry& registry, const Machine& machine,
                                   const std::vector<std::string>& images, double now);

// Receiver: replaces the state of a machine by the view, or adds the machine.
void ApplyMachineView(WorkerRegistry& registry, const model::MachineView& view, double now);

// Receiver: marks all machines as heard from at `now`. Called after a message of the leader has
// been applied: machines that the message leaves out have not changed.
void MarkMachinesFresh(WorkerRegistry& registry, double now);

}  // namespace hallpier::fleet
