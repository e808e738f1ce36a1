#include "fleet/machine_views.h"

#include <algorithm>
#include <optional>

#include "model/task.h"

namespace hallpier::fleet {
namespace {

constexpr double kMsPerS = 1000;
// A view carries no agent epoch, since its receiver does not need one. Any epoch that is set marks
// the machine as having reported, which it has (to the leader).
constexpr model::AgentEpoch kPlaceholderEpoch{1};

model::TaskView DescribeTask(const model::TaskId& task, const ReportedTask& reported, double now) {
  model::TaskView view;
  view.task = task;
  view.attempt = reported.attempt;
  view.phase = reported.phase;
  view.cause = reported.cause;
  view.start_observed = reported.start_observed;
  view.phase_age_ms = static_cast<uint64_t>(std::max(0.0, now - reported.phase_since) * kMsPerS);
  return view;
}

ReportedTask TaskFromView(const model::TaskView& view, double now) {
  ReportedTask reported;
  reported.attempt = view.attempt;
  reported.phase = view.phase;
  reported.cause = view.cause;
  reported.start_observed = view.start_observed;
  reported.phase_since = now - static_cast<double>(view.phase_age_ms) / kMsPerS;
  return reported;
}

bool HasImage(const WorkerRegistry& registry, const Machine& machine, const std::string& image) {
  const std::optional<size_t> number = registry.image_index().Find(image);
  return number && *number < machine.images.size() && machine.images[*number];
}

}  // namespace

model::MachineView DescribeMachine(const WorkerRegistry& registry, const Machine& machine,
                                   const std::vector<std::string>& images, double now) {
  model::MachineView view;
  view.machine = machine.name;
  view.machine_type = machine.machine_type;
  view.zone = machine.zone;
  view.spot = machine.spot;
  view.accepts_tasks = registry.AcceptsTasks(machine, now);
  for (const std::string& image : images) {
    if (HasImage(registry, machine, image)) view.images.push_back(image);
  }
  for (const auto& [task, reported] : machine.reported_tasks) {
    view.tasks.push_back(DescribeTask(task, reported, now));
  }
  return view;
}

void ApplyMachineView(WorkerRegistry& registry, const model::MachineView& view, double now) {
  Machine& machine = registry.FindOrAdd(view.machine).machine;
  machine.machine_type = view.machine_type;
  machine.zone = view.zone;
  machine.spot = view.spot;
  machine.agent.epoch = kPlaceholderEpoch;
  machine.agent.last_heartbeat = now;
  machine.agent.last_status = now;
  machine.cloud.booting = false;
  machine.cloud.terminating = !view.accepts_tasks;
  std::fill(machine.images.begin(), machine.images.end(), false);
  for (const std::string& image : view.images) registry.RecordImage(machine, image);
  machine.reported_tasks.clear();
  for (const model::TaskView& task : view.tasks) {
    machine.reported_tasks[task.task] = TaskFromView(task, now);
  }
}

void MarkMachinesFresh(WorkerRegistry& registry, double now) {
  for (auto& [name, machine] : registry.machines()) machine.agent.last_heartbeat = now;
}

}  // namespace hallpier::fleet
