#include "fleet/task_outcomes.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "fleet/placement_proof.h"
#include "model/job.h"

namespace hallpier::fleet {
namespace {

// A task attempt that is recorded as placed on a machine.
struct Placement {
  model::TaskId task;
  uint64_t attempt = 0;
  std::string machine;
};

jobs::TaskTransition Requeue(const Placement& placement, std::string_view reason) {
  jobs::TaskTransition transition;
  transition.kind = jobs::TaskTransition::Kind::kRequeue;
  transition.task = placement.task;
  transition.attempt = placement.attempt;
  transition.machine = placement.machine;
  transition.reason = reason;
  return transition;
}

jobs::TaskTransition Complete(const Placement& placement, const Machine& machine,
                              const ReportedTask& exit, double now) {
  jobs::TaskTransition transition;
  transition.kind = jobs::TaskTransition::Kind::kDone;
  transition.task = placement.task;
  transition.attempt = placement.attempt;
  transition.machine = placement.machine;
  transition.run_s = exit.run_s;
  transition.machine_type = machine.machine_type;
  transition.known_for_s = now - exit.phase_since;
  return transition;
}

// Determines the outcome of each placement. Lives for one call of CollectTaskTransitions().
class OutcomeFinder {
 public:
  OutcomeFinder(const WorkerRegistry& registry, const jobs::JobTable& job_table, double now)
      : registry_(registry), job_table_(job_table), now_(now) {}

  // Returns the transition for a placement; std::nullopt while the attempt may be alive. `machine`:
  // null if unknown. `all_tasks_ended`: everything that ran on the machine has ended, reported or
  // not.
  std::optional<jobs::TaskTransition> OutcomeOf(const Placement& placement, const Machine* machine,
                                                bool all_tasks_ended) const {
    if (machine == nullptr || !machine->has_reported()) {
      if (all_tasks_ended) return Requeue(placement, "machine gone");
      return std::nullopt;
    }
    auto reported = machine->reported_tasks.find(placement.task);
    const bool is_reported =
        reported != machine->reported_tasks.end() && reported->second.attempt == placement.attempt;
    if (is_reported && reported->second.phase == model::TaskPhase::kExited) {
      return OutcomeOfExit(placement, *machine, reported->second, all_tasks_ended);
    }
    if (!is_reported && IsProvenNeverStarted(placement, *machine)) {
      return Requeue(placement, "never started");
    }
    // The agent kills its tasks when its lease expires, even if no report of that arrives here.
    if (all_tasks_ended) return Requeue(placement, "lease expired");
    return std::nullopt;
  }

 private:
  // Absence proves nothing while the start command may still be sent again.
  bool IsProvenNeverStarted(const Placement& placement, const Machine& machine) const {
    return IsStartForbidden(machine, placement.task, placement.attempt, job_table_,
                            registry_.stop_requests()) &&
           IsProvenAbsent(registry_, machine, placement.task);
  }

  std::optional<jobs::TaskTransition> OutcomeOfExit(const Placement& placement,
                                                    const Machine& machine,
                                                    const ReportedTask& exit,
                                                    bool all_tasks_ended) const {
    const jobs::Job* job = job_table_.Find(placement.task.job);
    const bool is_service = job != nullptr && job->spec.kind == model::JobKind::kService;
    // A completion is final whichever leader it was reported to: the result is kept.
    if (exit.cause == model::ExitCause::kDone && !is_service) {
      return Complete(placement, machine, exit, now_);
    }
    // Any other exit counts only if the agent had seen a token of this term when it reported the
    // exit. A report with an older token may be a delayed one that arrives ahead of newer reports.
    // Since then the machine may have lost its lease and been told to start the attempt again.
    if (machine.agent.token < registry_.first_token_of_term()) {
      if (all_tasks_ended) return Requeue(placement, "lease expired");
      return std::nullopt;
    }
    return Requeue(placement, model::ExitCauseName(exit.cause));
  }

  const WorkerRegistry& registry_;
  const jobs::JobTable& job_table_;
  const double now_;
};

}  // namespace

std::vector<jobs::TaskTransition> CollectTaskTransitions(WorkerRegistry& registry,
                                                         const jobs::JobTable& job_table,
                                                         double now) {
  const OutcomeFinder finder(registry, job_table, now);
  std::vector<jobs::TaskTransition> transitions;
  for (const auto& [name, placements] : job_table.placements_by_machine()) {
    const Machine* machine = registry.Find(name);
    const bool all_tasks_ended =
        registry.IsTerminationConfirmed(name) || now > registry.LeaseExpiry(machine);
    for (const auto& [task, attempt] : placements) {
      auto outcome = finder.OutcomeOf({task, attempt, name}, machine, all_tasks_ended);
      if (!outcome) continue;
      // Writing the requeue takes time, and may succeed late without a response. If the worker
      // returns meanwhile, it must not be told to start a task that is about to start elsewhere.
      if (outcome->kind == jobs::TaskTransition::Kind::kRequeue) {
        registry.stop_requests().Add(task, attempt, 0);
      }
      transitions.push_back(std::move(*outcome));
    }
  }
  registry.stop_requests().DropFulfilled(job_table);
  return transitions;
}

}  // namespace hallpier::fleet
