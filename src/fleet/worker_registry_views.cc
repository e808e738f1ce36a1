// Views of machines: what the leader's roster tells the rosters of nodes that hold blocks.
#include <algorithm>

#include "fleet/worker_registry.h"
#include "model/machine_view.h"
#include "model/task.h"

namespace hallpier::fleet {
namespace {

constexpr double kMsPerS = 1000;

model::TaskView ViewOfTask(const model::TaskId& task, const ReportedTask& reported, double now) {
  model::TaskView view;
  view.task = task;
  view.attempt = reported.attempt;
  view.phase = reported.state;
  view.cause = reported.cause;
  view.seen_start = reported.seen_start;
  view.for_ms = static_cast<uint64_t>(std::max(0.0, now - reported.since) * kMsPerS);
  return view;
}

}  // namespace

model::MachineView WorkerRegistry::ViewOf(const Machine& m, const std::vector<std::string>& images,
                                          double now) const {
  model::MachineView view;
  view.machine = m.name;
  view.machine_type = m.machine_type;
  view.zone = m.zone;
  view.spot = m.spot;
  view.usable = Usable(m, now);
  for (const std::string& image : images) {
    const std::optional<size_t> id = ImageId(image);
    if (id && *id < m.images.size() && m.images[*id]) view.images.push_back(image);
  }
  for (const auto& [task, reported] : m.reported_tasks)
    view.tasks.push_back(ViewOfTask(task, reported, now));
  return view;
}

void WorkerRegistry::TakeView(const model::MachineView& view, double now) {
  Machine& m = *Add(view.machine).first;
  m.machine_type = view.machine_type;
  m.zone = view.zone;
  m.spot = view.spot;
  m.agent_epoch = model::AgentEpoch(1);
  m.booting = false;
  m.returning = !view.usable;
  m.last_heartbeat = m.last_status = now;
  std::fill(m.images.begin(), m.images.end(), false);
  for (const std::string& image : view.images) LearnImage(m, image);
  m.reported_tasks.clear();
  for (const model::TaskView& task : view.tasks) {
    ReportedTask& reported = m.reported_tasks[task.task];
    reported.attempt = task.attempt;
    reported.state = task.phase;
    reported.cause = task.cause;
    reported.seen_start = task.seen_start;
    reported.since = now - static_cast<double>(task.for_ms) / kMsPerS;
  }
}

void WorkerRegistry::DropView(const std::string& machine) {
  index_.erase(machine);
  machines_.erase(machine);
}

void WorkerRegistry::ConfirmViews(double now) {
  for (auto& [name, m] : machines_) m.last_heartbeat = now;
}

}  // namespace hallpier::fleet
