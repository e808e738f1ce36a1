#include "plan/round_machines.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "plan/run_time.h"

namespace hallpier::plan {
namespace {

// Resources that become free at a time, in seconds from now.
struct ScheduledRelease {
  double time;
  Resources resources;
};

// What is free on one machine: now, and from the ends of what runs there on.
class MachineLoad {
 public:
  MachineLoad(const RoundInput& input, const fleet::Machine& machine, const Resources& capacity,
              bool usable)
      : input_(input), machine_(machine), free_(usable ? capacity : Resources{}) {}

  void ReleaseOnceBooted(const Resources& capacity, const model::MachineType& machine_type) {
    const double boot_s =
        input_.registry.boot_times().Expected(machine_.machine_type, machine_type.boot_s);
    const double ready = machine_.cloud.requested_at + boot_s - input_.now;
    const double next_heartbeat = input_.context.settings->heartbeat_interval_s;
    releases_.push_back({std::max(ready, next_heartbeat), capacity});
  }

  // Takes off what is recorded as placed here. Adds to `ended_by_team` what is done, recorded or
  // not.
  void TakePlaced(std::map<std::string, Resources>& ended_by_team) {
    for (const auto& [task, attempt] : input_.job_table.PlacementsOn(machine_.name)) {
      const jobs::Job* job = input_.job_table.Find(task.job);
      if (job == nullptr) continue;
      const Resources need = RequirementOf(job->spec);
      const fleet::ReportedTask* reported = FindReported(machine_, task, attempt);
      if (reported != nullptr && reported->state == model::TaskPhase::kExited) {
        // It has ended, whether that is recorded yet or not: its resources on the machine are free
        // at once. Its part of the team's quota is free only if it is done: a later leader finds
        // the attempt recorded, and starts it again if the machine has lost its lease by then.
        const bool done = reported->cause == model::ExitCause::kDone &&
                          job->spec.kind != model::JobKind::kService;
        if (done) ended_by_team[job->spec.team] += need;
        continue;
      }
      Take(need, RemainingTime(input_, *job, machine_, task, attempt));
    }
  }

  // Takes off what runs here without being recorded here: it is being stopped.
  void TakeUnrecorded() {
    const jobs::JobTable::Placements& placements = input_.job_table.PlacementsOn(machine_.name);
    for (const auto& [task, reported] : machine_.reported_tasks) {
      if (placements.contains(task) || reported.state == model::TaskPhase::kExited) continue;
      const jobs::Job* job = input_.job_table.Find(task.job);
      if (job == nullptr) continue;
      Take(RequirementOf(job->spec), ReactionTime(input_.context));
    }
  }

  ResourceTimeline Timeline() const {
    ResourceTimeline timeline(free_);
    for (const ScheduledRelease& release : releases_) {
      timeline.Release(release.time, release.resources);
    }
    return timeline;
  }

 private:
  void Take(const Resources& need, double remaining_s) {
    free_ -= need;
    releases_.push_back({remaining_s, need});
  }

  const RoundInput& input_;
  const fleet::Machine& machine_;
  Resources free_;
  std::vector<ScheduledRelease> releases_;
};

// The number of the machine's holder, 0 where machines are not divided; nothing if this round does
// not use the machine.
std::optional<size_t> HolderInScope(const PlacementScope* scope, const std::string& machine) {
  if (scope == nullptr) return 0;
  const std::optional<size_t> holder = scope->holder_of(machine);
  if (scope->single_holder && holder != scope->single_holder) return std::nullopt;
  return holder;
}

void AddMachine(const RoundInput& input, const fleet::Machine& machine,
                const model::MachineType& machine_type, size_t holder, RoundMachines& round) {
  const bool usable = input.registry.AcceptsTasks(machine, input.now);
  const bool coming = !machine.has_reported() && machine.cloud.booting &&
                      !machine.cloud.terminating &&
                      !input.registry.IsBootLate(machine, machine_type, input.now);
  if (!usable && !coming) return;
  round.total_cpus += machine_type.cpus;
  const Resources capacity = CapacityOf(machine_type);
  MachineLoad load(input, machine, capacity, usable);
  if (coming) load.ReleaseOnceBooted(capacity, machine_type);
  load.TakePlaced(round.ended_by_team);
  load.TakeUnrecorded();
  round.machines.push_back(&machine);
  round.machine_types.push_back(&machine_type);
  round.holders.push_back(holder);
  round.slots.push_back({load.Timeline(), round.zones.NumberOf(machine.zone)});
}

}  // namespace

RoundMachines CollectMachines(const RoundInput& input) {
  RoundMachines round;
  for (const auto& [name, machine] : input.registry.machines()) {
    const model::MachineType* machine_type = input.context.FindMachineType(machine.machine_type);
    if (machine_type == nullptr) continue;
    const std::optional<size_t> holder = HolderInScope(input.scope, name);
    if (holder) AddMachine(input, machine, *machine_type, *holder, round);
  }
  return round;
}

}  // namespace hallpier::plan
