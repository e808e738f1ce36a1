#include "plan/task_classes.h"

#include <algorithm>
#include <map>
#include <optional>

#include "plan/feasibility.h"
#include "plan/run_time.h"

namespace hallpier::plan {
namespace {

// The zones of the placed tasks of a job.
struct PlacedByZone {
  std::map<std::string, size_t> tasks;  // number of placed tasks by zone
  bool has_unknown_zone = false;        // true if a task is on a machine that is not registered
};

PlacedByZone CountPlacedByZone(const jobs::Job& job, const fleet::WorkerRegistry& registry) {
  PlacedByZone placed;
  for (const auto& [number, task_group] : job.task_groups()) {
    for (const auto& [index, task] : task_group.open) {
      if (task.machine.empty()) continue;
      const auto machine = registry.machines().find(task.machine);
      if (machine == registry.machines().end()) {
        placed.has_unknown_zone = true;
      } else {
        ++placed.tasks[machine->second.zone];
      }
    }
  }
  return placed;
}

// Returns the seconds that fetching the image takes; 0 if the machine has it. `image`: the number
// of the image; std::nullopt if no machine is known to have it.
double FetchTime(const model::JobSpec& spec, std::optional<size_t> image,
                 const fleet::Machine& machine, const model::MachineType& machine_type) {
  const bool present = image && *image < machine.images.size() && machine.images[*image];
  if (present || machine_type.fetch_gb_per_s <= 0) return 0;
  return spec.image_gb / machine_type.fetch_gb_per_s;
}

}  // namespace

TaskClass TaskClassBuilder::Build(const QueuedJob& queued) {
  const model::JobSpec& spec = queued.job->spec;
  TaskClass task_class;
  task_class.need = RequirementOf(spec);
  task_class.count = queued.tasks;
  // Packing keeps whole machines free for large tasks. Urgent tasks are not packed, since they
  // start faster on machines where few other tasks start.
  task_class.pack = queued.job->priority > model::Priority::kUrgent;
  task_class.one_zone = spec.one_zone;
  const fleet::FailureTracker& failures = input_.registry.failure_tracker();
  const std::set<std::string>* failed_on = failures.FailedOn(spec.id);
  if (failed_on != nullptr && FailedOnAllMachines(spec, *failed_on)) {
    // No allowed machine is left on which the job has not failed, so it is retried on machines
    // where it has failed, after a delay.
    failed_on = nullptr;
    if (!queued.is_retry) task_class.count = failures.IsRetryDue(spec.id, input_.now) ? 1 : 0;
  }
  task_class.run_s = RunTimes(*queued.job, failed_on);
  if (spec.one_zone || spec.spread) ConstrainZones(*queued.job, task_class);
  return task_class;
}

// Returns true if the job has failed on every machine that its constraints allow.
bool TaskClassBuilder::FailedOnAllMachines(const model::JobSpec& spec,
                                           const std::set<std::string>& failed_on) const {
  return std::all_of(machines_.machines.begin(), machines_.machines.end(),
                     [&](const fleet::Machine* machine) {
                       return !AllowsMachine(spec, *machine) || failed_on.contains(machine->name);
                     });
}

// Returns, by owner, whether it may place tasks of the job; empty if the job may use all machines
// of the round.
std::vector<char> TaskClassBuilder::AllowedOwners(const jobs::Job& job) const {
  std::vector<char> allowed;
  if (input_.scope == nullptr || input_.scope->single_owner) return allowed;
  for (size_t owner = 0; owner < input_.scope->owner_count; ++owner) {
    allowed.push_back(input_.scope->may_place(owner, job) ? 1 : 0);
  }
  return allowed;
}

// Returns the expected run time of a task of the job on each machine, including the time to fetch
// the image where the machine lacks it. `failed_on`: machines on which it must not run; null if
// there are none.
std::vector<double> TaskClassBuilder::RunTimes(const jobs::Job& job,
                                               const std::set<std::string>* failed_on) const {
  const model::JobSpec& spec = job.spec;
  std::map<const model::MachineType*, double> predicted;
  for (const model::MachineType& machine_type : input_.context.machine_types) {
    predicted[&machine_type] = PredictRunTime(job, machine_type.name);
  }
  const std::optional<size_t> image = input_.registry.image_index().Find(spec.image);
  const std::vector<char> allowed_owners = AllowedOwners(job);
  std::vector<double> run_times;
  run_times.reserve(machines_.size());
  for (size_t i = 0; i < machines_.size(); ++i) {
    const fleet::Machine& machine = *machines_.machines[i];
    const model::MachineType& machine_type = *machines_.machine_types[i];
    const bool owner_not_allowed =
        !allowed_owners.empty() && allowed_owners[machines_.owners[i]] == 0;
    if (owner_not_allowed || !AllowsMachine(spec, machine) ||
        (failed_on != nullptr && failed_on->contains(machine.name))) {
      run_times.push_back(kNotAllowed);
      continue;
    }
    run_times.push_back(predicted[&machine_type] + FetchTime(spec, image, machine, machine_type));
  }
  return run_times;
}

// Requires a job whose tasks depend on each other's zones (`one_zone` or `spread`). The zones of
// its placed tasks then determine the zones that are left for its waiting tasks.
void TaskClassBuilder::ConstrainZones(const jobs::Job& job, TaskClass& task_class) {
  const model::JobSpec& spec = job.spec;
  const PlacedByZone placed = CountPlacedByZone(job, input_.registry);
  // While a task is placed on an unregistered machine, the zone of that task is unknown, so no more
  // tasks of the job are mapped.
  if (placed.has_unknown_zone || (spec.one_zone && placed.tasks.size() > 1)) task_class.count = 0;
  if (spec.one_zone && placed.tasks.size() == 1) {
    task_class.fixed_zone = machines_.zones.NumberOf(placed.tasks.begin()->first);
  }
  if (!spec.spread) return;
  // No zone may run more than half of the tasks, rounded up.
  const size_t max_per_zone = (spec.tasks + 1) / 2;
  task_class.zone_allowance.assign(machines_.zones.size(), max_per_zone);
  for (const auto& [zone, tasks] : placed.tasks) {
    const size_t number = machines_.zones.NumberOf(zone);
    // A zone whose number was assigned just now has no machine in this round.
    if (number >= task_class.zone_allowance.size()) continue;
    task_class.zone_allowance[number] -= std::min(tasks, max_per_zone);
  }
}

}  // namespace hallpier::plan
