#include "plan/round_machines.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "plan/run_time.h"

namespace hallpier::plan {
namespace {

// Resources that become free at `time`, in seconds from now.
struct ScheduledRelease {
  double time;
  Resources resources;
};

// Computes the free resources of one machine, now and as its tasks end.
class MachineTimelineBuilder {
 public:
  MachineTimelineBuilder(const RoundInput& input, const fleet::Machine& machine,
                         const Resources& capacity, bool usable)
      : input_(input), machine_(machine), free_(usable ? capacity : Resources{}) {}

  void AddCapacityOnceBooted(const Resources& capacity, const model::MachineType& machine_type) {
    const double boot_s =
        input_.registry.boot_times().Expected(machine_.machine_type, machine_type.boot_s);
    const double ready = machine_.cloud.requested_at + boot_s - input_.now;
    const double next_heartbeat = input_.context.settings->heartbeat_interval_s;
    releases_.push_back({std::max(ready, next_heartbeat), capacity});
  }

  // Subtracts the resources of the attempts that are recorded as placed on the machine and have not
  // ended. Adds the resources of those attempts that are reported as done to
  // `reported_done_by_team`, by team.
  void SubtractPlacedTasks(std::map<std::string, Resources>& reported_done_by_team) {
    for (const auto& [task, attempt] : input_.job_table.PlacementsOn(machine_.name)) {
      const jobs::Job* job = input_.job_table.Find(task.job);
      if (job == nullptr) continue;
      const Resources need = RequirementOf(job->spec);
      const fleet::ReportedTask* reported = FindReported(machine_, task, attempt);
      if (reported != nullptr && reported->phase == model::TaskPhase::kExited) {
        // The attempt has ended, even if that is not recorded yet, so its resources on the machine
        // are free at once. Its part of the team's quota is free only if the task is done:
        // otherwise a later leader may find the attempt recorded as placed, and start the task
        // again if the machine has lost its lease by then.
        const bool done = reported->cause == model::ExitCause::kDone &&
                          job->spec.kind != model::JobKind::kService;
        if (done) reported_done_by_team[job->spec.team] += need;
        continue;
      }
      Occupy(need, RemainingTime(input_, *job, machine_, task, attempt));
    }
  }

  // Subtracts the resources of attempts that run on the machine without being recorded as placed
  // there; these are being stopped.
  void SubtractUnrecordedTasks() {
    const jobs::JobTable::Placements& placements = input_.job_table.PlacementsOn(machine_.name);
    for (const auto& [task, reported] : machine_.reported_tasks) {
      if (placements.contains(task) || reported.phase == model::TaskPhase::kExited) continue;
      const jobs::Job* job = input_.job_table.Find(task.job);
      if (job == nullptr) continue;
      Occupy(RequirementOf(job->spec), ReactionTime(input_.context));
    }
  }

  ResourceTimeline Build() const {
    ResourceTimeline timeline(free_);
    for (const ScheduledRelease& release : releases_) {
      timeline.Release(release.time, release.resources);
    }
    return timeline;
  }

 private:
  void Occupy(const Resources& need, double remaining_s) {
    free_ -= need;
    releases_.push_back({remaining_s, need});
  }

  const RoundInput& input_;
  const fleet::Machine& machine_;
  Resources free_;
  std::vector<ScheduledRelease> releases_;
};

// Returns the index of the machine's owner, 0 if no scope is set; std::nullopt if this round does
// not use the machine.
std::optional<size_t> OwnerInScope(const PlacementScope* scope, const std::string& machine) {
  if (scope == nullptr) return 0;
  const std::optional<size_t> owner = scope->owner_of(machine);
  if (scope->single_owner && owner != scope->single_owner) return std::nullopt;
  return owner;
}

void AddMachine(const RoundInput& input, const fleet::Machine& machine,
                const model::MachineType& machine_type, size_t owner,
                RoundMachines& round_machines) {
  const bool usable = input.registry.AcceptsTasks(machine, input.now);
  const bool booting = !machine.has_reported() && machine.cloud.booting &&
                       !machine.cloud.terminating &&
                       !input.registry.IsBootLate(machine, machine_type, input.now);
  if (!usable && !booting) return;
  round_machines.total_cpus += machine_type.cpus;
  const Resources capacity = CapacityOf(machine_type);
  MachineTimelineBuilder builder(input, machine, capacity, usable);
  if (booting) builder.AddCapacityOnceBooted(capacity, machine_type);
  builder.SubtractPlacedTasks(round_machines.reported_done_by_team);
  builder.SubtractUnrecordedTasks();
  round_machines.machines.push_back(&machine);
  round_machines.machine_types.push_back(&machine_type);
  round_machines.owners.push_back(owner);
  round_machines.availability.push_back(
      {builder.Build(), round_machines.zones.NumberOf(machine.zone)});
}

}  // namespace

RoundMachines CollectMachines(const RoundInput& input) {
  RoundMachines round_machines;
  for (const auto& [name, machine] : input.registry.machines()) {
    const model::MachineType* machine_type = input.context.FindMachineType(machine.machine_type);
    if (machine_type == nullptr) continue;
    const std::optional<size_t> owner = OwnerInScope(input.scope, name);
    if (owner) AddMachine(input, machine, *machine_type, *owner, round_machines);
  }
  return round_machines;
}

}  // namespace hallpier::plan
