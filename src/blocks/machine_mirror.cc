#include "blocks/machine_mirror.h"

namespace hallpier::blocks {

void MachineMirror::Forget() {
  std::vector<std::string> names;
  for (const auto& [name, machine] : roster_.all()) names.push_back(name);
  for (const std::string& name : names) roster_.DropView(name);
}

std::optional<uint64_t> MachineMirror::Take(const wire::BlockView& view, double now) {
  if (view.token < token_) return std::nullopt;
  if (view.token > token_ && view.sequence != 1) sequence_ = 0;
  token_ = view.token;
  if (view.sequence == 1) {
    Forget();
  } else if (sequence_ == 0 || view.sequence != sequence_ + 1) {
    sequence_ = 0;
    return 0;
  }
  sequence_ = view.sequence;
  for (const std::string& machine : view.gone) roster_.DropView(machine);
  for (const wire::MachineView& machine : view.changed) roster_.TakeView(machine, now);
  roster_.failures().TakeView(view.failures, now);
  roster_.ConfirmViews(now);
  return view.sequence;
}

}  // namespace hallpier::blocks
