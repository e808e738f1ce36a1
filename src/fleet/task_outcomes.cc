#include "fleet/task_outcomes.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "fleet/placement_proof.h"
#include "model/job.h"

namespace hallpier::fleet {
namespace {

// An attempt of a task that is recorded as placed on a machine.
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
  transition.why = reason;
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
  transition.age_s = now - exit.since;
  return transition;
}

// Decides what has become of each placement; holds nothing beyond one call of
// CollectTaskTransitions().
class OutcomeFinder {
 public:
  OutcomeFinder(const WorkerRegistry& registry, const jobs::JobTable& job_table, double now)
      : registry_(registry), job_table_(job_table), now_(now) {}

  // What has become of a placement; nothing while it may be alive. `machine`: null if unknown.
  // `all_ended`: whatever ran on the machine has ended, whether it was reported or not.
  std::optional<jobs::TaskTransition> OutcomeOf(const Placement& placement, const Machine* machine,
                                                bool all_ended) const {
    if (machine == nullptr || !machine->has_reported()) {
      if (all_ended) return Requeue(placement, "machine gone");
      return std::nullopt;
    }
    auto reported = machine->reported_tasks.find(placement.task);
    const bool is_reported =
        reported != machine->reported_tasks.end() && reported->second.attempt == placement.attempt;
    if (is_reported && reported->second.state == model::TaskPhase::kExited) {
      return OutcomeOfExit(placement, *machine, reported->second, all_ended);
    }
    if (!is_reported && IsProvenNeverStarted(placement, *machine)) {
      return Requeue(placement, "never started");
    }
    // The agent ends its tasks as its lease expires, whether we hear of it or not.
    if (all_ended) return Requeue(placement, "lease expired");
    return std::nullopt;
  }

 private:
  // Absence alone is no proof while the start may be sent again.
  bool IsProvenNeverStarted(const Placement& placement, const Machine& machine) const {
    return IsStartBarred(machine, placement.task, placement.attempt, job_table_,
                         registry_.stop_requests()) &&
           IsProvenAbsent(machine, placement.task, registry_.token());
  }

  std::optional<jobs::TaskTransition> OutcomeOfExit(const Placement& placement,
                                                    const Machine& machine,
                                                    const ReportedTask& exit,
                                                    bool all_ended) const {
    const jobs::Job* job = job_table_.Find(placement.task.job);
    const bool is_service = job != nullptr && job->spec.kind == model::JobKind::kService;
    // A completion is final, whichever leader it was reported under: the result is kept.
    if (exit.cause == model::ExitCause::kDone && !is_service) {
      return Complete(placement, machine, exit, now_);
    }
    // Any other exit counts only if it was reported to a leader of this term. A report from before
    // the term may be an old one that arrives now, ahead of newer ones: the machine may have lost
    // its lease since, and been told to start the attempt again.
    if (machine.agent.token < registry_.first_token_of_term()) {
      if (all_ended) return Requeue(placement, "lease expired");
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
    const bool all_ended = registry.IsConfirmedGone(name) || now > registry.LeaseExpiry(machine);
    for (const auto& [task, attempt] : placements) {
      auto outcome = finder.OutcomeOf({task, attempt, name}, machine, all_ended);
      if (!outcome) continue;
      // Writing the requeueing takes time, and may succeed late without an answer. Meanwhile the
      // worker may be back: it must not be told to start what is about to start elsewhere.
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
