#include "fleet/reconciliation.h"

#include <algorithm>
#include <optional>

#include "fleet/command_token.h"
#include "fleet/placement_proof.h"

namespace hallpier::fleet {
namespace {

using Placements = jobs::JobTable::Placements;

// Drops the start commands of tasks that are neither recorded nor reported any more: these commands
// have had their effect. Keeps those that the worker may still receive.
void DropSettledStarts(Machine& machine, const Placements& placements) {
  std::erase_if(machine.sent_starts, [&](const auto& entry) {
    const auto& [task, start] = entry;
    return !placements.contains(task) && !machine.reported_tasks.contains(task) &&
           !MayStillExecute(start, machine.agent);
  });
}

// Returns the command for an attempt that a machine reports although it is not recorded there;
// std::nullopt if the attempt must be left alone.
std::optional<model::WorkerCommand> CommandForUnrecorded(const WorkerRegistry& registry,
                                                         Machine& machine,
                                                         const model::TaskId& task,
                                                         const ReportedTask& reported) {
  if (reported.phase != model::TaskPhase::kExited) {
    return model::WorkerCommand{model::CommandKind::kStop, task, reported.attempt, 0};
  }
  if (!PrepareForget(registry, machine)) return std::nullopt;
  return model::WorkerCommand{model::CommandKind::kForget, task, reported.attempt, 0};
}

// Returns the stop command for a recorded attempt that its machine reports; std::nullopt if the
// attempt should continue or is already stopping.
std::optional<model::WorkerCommand> StopCommandFor(const model::TaskId& task,
                                                   const ReportedTask& reported, bool cancelled,
                                                   const StopRequests& stop_requests) {
  if (reported.phase == model::TaskPhase::kExited) return std::nullopt;
  if (!cancelled && !stop_requests.Contains(task, reported.attempt)) return std::nullopt;
  const double grace_s = cancelled ? 0 : stop_requests.GraceSeconds(task);
  // A task that is already writing its checkpoint needs no second command.
  if (grace_s > 0 && reported.phase == model::TaskPhase::kCheckpointing) return std::nullopt;
  return model::WorkerCommand{model::CommandKind::kStop, task, reported.attempt, grace_s};
}

const ReportedTask* FindReported(const Machine& machine, const model::TaskId& task,
                                 uint64_t attempt) {
  auto reported = machine.reported_tasks.find(task);
  if (reported == machine.reported_tasks.end() || reported->second.attempt != attempt) {
    return nullptr;
  }
  return &reported->second;
}

bool IsCancelledOrUnknown(const jobs::JobTable& job_table, const model::TaskId& task) {
  const jobs::Job* job = job_table.Find(task.job);
  return job == nullptr || job->cancelled;
}

// True if a start command without a response is the only obstacle to a proof of absence.
bool IsOnlyLostStartBlocking(const Machine& machine, const model::TaskId& task,
                             const SentStart& start) {
  return start.outcome_unknown && MayStillExecute(start, machine.agent) &&
         machine.agent.heartbeat_sequence > start.sequence &&
         !machine.reported_tasks.contains(task);
}

// True if a recorded attempt that its machine does not report is to be started there.
bool IsStartWanted(const Machine& machine, const model::TaskId& task, uint64_t attempt,
                   const jobs::JobTable& job_table, const WorkerRegistry& registry) {
  // If the worker has seen a higher token, another leader commands it, and it would reject our
  // command.
  return !registry.IsCommandedByOther(machine) &&
         !IsStartForbidden(machine, task, attempt, job_table, registry.stop_requests());
}

}  // namespace

bool OmitsStarts(const WorkerRegistry& registry, const Machine& machine,
                 const jobs::JobTable& job_table, const StartFilter& may_start) {
  const Placements& placements = job_table.PlacementsOn(machine.name);
  return std::any_of(placements.begin(), placements.end(), [&](const auto& placement) {
    const auto& [task, attempt] = placement;
    return FindReported(machine, task, attempt) == nullptr &&
           IsStartWanted(machine, task, attempt, job_table, registry) && !may_start(task.job);
  });
}

std::vector<model::WorkerCommand> Reconcile(WorkerRegistry& registry, Machine& machine,
                                            const jobs::JobTable& job_table, bool direct,
                                            const StartFilter& may_start) {
  const StopRequests& stop_requests = registry.stop_requests();
  const Placements& placements = job_table.PlacementsOn(machine.name);
  std::vector<model::WorkerCommand> commands;
  DropSettledStarts(machine, placements);
  for (const auto& [task, reported] : machine.reported_tasks) {
    auto recorded = placements.find(task);
    if (recorded != placements.end() && recorded->second == reported.attempt) continue;
    auto command = CommandForUnrecorded(registry, machine, task, reported);
    if (command) commands.push_back(*command);
  }
  for (const auto& [task, attempt] : placements) {
    if (const ReportedTask* reported = FindReported(machine, task, attempt)) {
      const bool cancelled = IsCancelledOrUnknown(job_table, task);
      auto command = StopCommandFor(task, *reported, cancelled, stop_requests);
      if (command) commands.push_back(*command);
      continue;
    }
    if (!IsStartWanted(machine, task, attempt, job_table, registry)) continue;
    if (may_start && !may_start(task.job)) continue;
    commands.push_back({model::CommandKind::kRun, task, attempt, 0});
    RecordSentStart(registry, machine, task, attempt, direct);
  }
  return commands;
}

std::vector<model::WorkerCommand> CancellationCommands(const Machine& machine,
                                                       const jobs::JobTable& job_table) {
  std::vector<model::WorkerCommand> commands;
  for (const auto& [task, reported] : machine.reported_tasks) {
    if (reported.phase == model::TaskPhase::kExited) continue;
    const jobs::Job* job = job_table.Find(task.job);
    // An unknown job may have been submitted after the table was read.
    if (job == nullptr || !job->cancelled) continue;
    commands.push_back({model::CommandKind::kStop, task, reported.attempt, 0});
  }
  return commands;
}

void OnDirectCommandFinished(WorkerRegistry& registry, const std::string& machine_name,
                             const std::vector<model::WorkerCommand>& commands,
                             model::FencingToken token, bool responded) {
  Machine* machine = registry.Find(machine_name);
  if (machine == nullptr) return;
  machine->agent.unreachable = !responded;
  for (const model::WorkerCommand& command : commands) {
    if (command.kind != model::CommandKind::kRun) continue;
    auto sent = machine->sent_starts.find(command.task);
    if (sent == machine->sent_starts.end() || sent->second.token != token) continue;
    SentStart& start = sent->second;
    if (start.open_direct_commands > 0) --start.open_direct_commands;
    if (!responded) start.outcome_unknown = true;
    start.sequence = std::max(start.sequence, machine->agent.sequence);
  }
}

bool IsStartDue(const WorkerRegistry& registry, const std::string& machine_name,
                const model::TaskId& task, uint64_t attempt) {
  const Machine* machine = registry.Find(machine_name);
  if (machine == nullptr || !machine->has_reported()) return false;
  if (FindReported(*machine, task, attempt) != nullptr) return false;
  auto sent = machine->sent_starts.find(task);
  return sent == machine->sent_starts.end() || sent->second.attempt != attempt ||
         sent->second.token < registry.token() || sent->second.agent_epoch != machine->agent.epoch;
}

bool NeedsHigherToken(const WorkerRegistry& registry, const jobs::JobTable& job_table) {
  for (const auto& [name, machine] : registry.machines()) {
    if (!registry.HasSeenToken(machine) || machine.cloud.terminating) continue;
    const Placements& placements = job_table.PlacementsOn(name);
    if (IsForgetBlocked(registry, machine, placements)) return true;
    for (const auto& [task, start] : machine.sent_starts) {
      if (!IsOnlyLostStartBlocking(machine, task, start)) continue;
      auto recorded = placements.find(task);
      if (recorded != placements.end() &&
          IsStartForbidden(machine, task, recorded->second, job_table, registry.stop_requests())) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace hallpier::fleet
