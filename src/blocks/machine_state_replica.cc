#include "blocks/machine_state_replica.h"

#include "fleet/machine_views.h"
#include "model/machine_view.h"

namespace hallpier::blocks {

void MachineStateReplica::RemoveAllMachines() {
  std::vector<std::string> names;
  for (const auto& [name, machine] : registry_.machines()) names.push_back(name);
  for (const std::string& name : names) registry_.Remove(name);
}

std::optional<uint64_t> MachineStateReplica::Apply(const wire::BlockView& view, double now) {
  if (view.token < token_) return std::nullopt;
  if (view.token > token_ && view.sequence != 1) sequence_ = 0;
  token_ = view.token;
  if (view.sequence == 1) {
    RemoveAllMachines();
  } else if (sequence_ == 0 || view.sequence != sequence_ + 1) {
    sequence_ = 0;
    return 0;
  }
  sequence_ = view.sequence;
  for (const std::string& machine : view.removed) registry_.Remove(machine);
  for (const model::MachineView& machine : view.changed)
    fleet::ApplyMachineView(registry_, machine, now);
  registry_.failure_tracker().ApplyFailures(view.failures, now);
  fleet::MarkMachinesFresh(registry_, now);
  return view.sequence;
}

}  // namespace hallpier::blocks
