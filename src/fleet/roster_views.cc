// Views of machines: what the leader's roster tells the rosters of nodes that hold blocks.
#include <algorithm>

#include "fleet/roster.h"

namespace hallpier::fleet {
namespace {

constexpr double kMsPerS = 1000;

wire::TaskView ViewOfTask(const wire::TaskId& task, const ReportedTask& held, double now) {
  wire::TaskView view;
  view.task = task;
  view.attempt = held.attempt;
  view.phase = held.state;
  view.cause = held.cause;
  view.seen_start = held.seen_start;
  view.for_ms = static_cast<uint64_t>(std::max(0.0, now - held.since) * kMsPerS);
  return view;
}

}  // namespace

wire::MachineView Roster::ViewOf(const Machine& m, const std::vector<std::string>& images,
                                 double now) const {
  wire::MachineView view;
  view.machine = m.name;
  view.flavor = m.flavor;
  view.zone = m.zone;
  view.spot = m.spot;
  view.usable = Usable(m, now);
  for (const std::string& image : images) {
    const std::optional<size_t> id = ImageId(image);
    if (id && *id < m.images.size() && m.images[*id]) view.images.push_back(image);
  }
  for (const auto& [task, held] : m.held) view.tasks.push_back(ViewOfTask(task, held, now));
  return view;
}

void Roster::TakeView(const wire::MachineView& view, double now) {
  Machine& m = *Add(view.machine).first;
  m.flavor = view.flavor;
  m.zone = view.zone;
  m.spot = view.spot;
  m.session = 1;
  m.booting = false;
  m.returning = !view.usable;
  m.last_own_report = m.last_report = now;
  std::fill(m.images.begin(), m.images.end(), false);
  for (const std::string& image : view.images) LearnImage(m, image);
  m.held.clear();
  for (const wire::TaskView& task : view.tasks) {
    ReportedTask& held = m.held[task.task];
    held.attempt = task.attempt;
    held.state = task.phase;
    held.cause = task.cause;
    held.seen_start = task.seen_start;
    held.since = now - static_cast<double>(task.for_ms) / kMsPerS;
  }
}

void Roster::DropView(const std::string& machine) {
  index_.erase(machine);
  machines_.erase(machine);
}

void Roster::ConfirmViews(double now) {
  for (auto& [name, m] : machines_) m.last_own_report = now;
}

}  // namespace hallpier::fleet
