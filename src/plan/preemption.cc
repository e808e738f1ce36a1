#include "plan/preemption.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "plan/run_time.h"

namespace hallpier::plan {
namespace {

// On average, a task whose start was not observed has run for this fraction of its run time.
constexpr double kUnobservedRunRatio = 0.5;
// An urgent job without an objective for its start waits for this many reaction times before it
// preempts others.
constexpr double kDefaultUrgentWaitReactions = 2;

// Returns the seconds of work that are lost if a task is stopped after it has run for `ran_s`.
double LostWork(const model::JobSpec& spec, double ran_s, double grace_s) {
  if (spec.checkpoint_every_s <= 0) return ran_s;
  return grace_s > 0 ? spec.checkpoint_s : std::fmod(ran_s, spec.checkpoint_every_s);
}

}  // namespace

std::vector<Preemption> PreemptionPlanner::PlanPreemptions(const QueuedJob& queued,
                                                           const TaskClass& task_class,
                                                           std::vector<ExpectedStart> expected) {
  std::vector<Preemption> preemptions;
  if (!MayPreempt(queued)) return preemptions;
  const double max_wait_s = MaxWait(queued);
  std::erase_if(expected, [&](const ExpectedStart& task) { return task.start <= max_wait_s; });
  if (expected.empty()) return preemptions;
  auto costs_more = [](const PreemptionOption& left, const PreemptionOption& right) {
    return left.cost_s > right.cost_s;
  };
  std::vector<PreemptionOption> options;
  for (size_t i = 0; i < machines_.size(); ++i) {
    auto option =
        EvaluateMachine(queued, task_class, i, machines_.availability[i].timeline.free_now());
    if (option) options.push_back(*option);
  }
  std::make_heap(options.begin(), options.end(), costs_more);
  // Starts with the task that would complete last.
  std::sort(expected.begin(), expected.end(),
            [](const ExpectedStart& left, const ExpectedStart& right) {
              return left.completion > right.completion;
            });
  for (const ExpectedStart& task : expected) {
    // Completions are compared, as in the mapping. Otherwise the next mapping could still prefer
    // another machine for the task, and the stopped tasks would start again in the resources that
    // they had freed, and be stopped again.
    while (!options.empty() && options.front().completion > task.completion) {
      std::pop_heap(options.begin(), options.end(), costs_more);
      options.pop_back();
    }
    if (options.empty()) break;
    std::pop_heap(options.begin(), options.end(), costs_more);
    const PreemptionOption chosen = options.back();
    options.pop_back();
    const auto eviction = ChooseVictims(queued, task_class, chosen.machine, chosen.free);
    if (!eviction) continue;  // impossible: the machine is unchanged since its evaluation
    for (const VictimStop& stop : chosen_stops_) {
      stop.victim->stopped = true;
      preemptions.push_back({stop.victim->task, stop.victim->attempt,
                             machines_.machines[chosen.machine]->name, stop.grace_s,
                             queued.job->spec.id});
    }
    if (auto next = EvaluateMachine(queued, task_class, chosen.machine, eviction->free_after)) {
      options.push_back(*next);
      std::push_heap(options.begin(), options.end(), costs_more);
    }
  }
  return preemptions;
}

// Only jobs that come first in the order may preempt, since only these keep the resources that are
// freed.
bool PreemptionPlanner::MayPreempt(const QueuedJob& queued) const {
  return queued.job->priority <= model::Priority::kUrgent ||
         order_.IsGuaranteeOverdue(*queued.job, queued.within_guarantee);
}

// Returns the seconds for which a task may still wait before others are stopped for it.
double PreemptionPlanner::MaxWait(const QueuedJob& queued) const {
  if (queued.job->priority > model::Priority::kUrgent) return LongestBootTime(input_.context);
  const double reaction = ReactionTime(input_.context);
  const config::Objective* objective =
      input_.context.settings->FindObjective("wait", queued.job->spec.job_class);
  if (objective == nullptr) return kDefaultUrgentWaitReactions * reaction;
  const double waited = std::max(0.0, input_.AgeOf(*queued.job));
  return std::max(reaction, objective->within_s - waited - reaction);
}

// Finds the possible victims on all machines at the first call, for all classes of the round.
std::vector<PreemptionPlanner::Victim>& PreemptionPlanner::VictimsOn(size_t machine) {
  if (victims_.empty()) {
    victims_.reserve(machines_.size());
    for (const fleet::Machine* each : machines_.machines) victims_.push_back(FindVictims(*each));
  }
  return victims_[machine];
}

std::vector<PreemptionPlanner::Victim> PreemptionPlanner::FindVictims(
    const fleet::Machine& machine) const {
  std::vector<Victim> victims;
  if (!input_.registry.AcceptsTasks(machine, input_.now)) return victims;
  for (const auto& [task, attempt] : input_.job_table.PlacementsOn(machine.name)) {
    const jobs::Job* job = input_.job_table.Find(task.job);
    const fleet::ReportedTask* reported = FindReported(machine, task, attempt);
    if (job == nullptr || reported == nullptr || reported->phase != model::TaskPhase::kRunning ||
        input_.registry.stop_requests().Contains(task, attempt)) {
      continue;
    }
    const auto found = queue_.tier_by_job.find(job);
    const int tier =
        found == queue_.tier_by_job.end() ? std::numeric_limits<int>::max() : found->second;
    // A new leader has not observed the start of this attempt, which may have run for most of its
    // run time. If it counted as just started, a failover under load would stop the tasks that have
    // run longest.
    const double unobserved_s =
        reported->start_observed ? 0
                                 : kUnobservedRunRatio * PredictRunTime(*job, machine.machine_type);
    victims.push_back({task, attempt, job, tier, unobserved_s + input_.now - reported->phase_since,
                       RequirementOf(job->spec)});
  }
  return victims;
}

bool PreemptionPlanner::IsVictimFor(const QueuedJob& queued, const Victim& victim) const {
  // A victim of the same or an earlier tier would get the resources again, and be stopped again.
  if (victim.tier <= TierOfRank(queued.rank)) return false;
  if (victim.job->priority > queued.job->priority) return true;
  return order_.IsGuaranteeOverdue(*queued.job, queued.within_guarantee) &&
         victim.job->spec.team != queued.job->spec.team &&
         !queue_.jobs_within_guarantee.contains(victim.job);
}

// Leaves in `chosen_stops_` the cheapest stops that free enough resources on a machine for one more
// task. `free`: the free resources before the stops. Returns std::nullopt if no stops free enough,
// or none are needed.
std::optional<PreemptionPlanner::EvictionPlan> PreemptionPlanner::ChooseVictims(
    const QueuedJob& queued, const TaskClass& task_class, size_t machine, const Resources& free) {
  chosen_stops_.clear();
  if (task_class.run_s[machine] < 0) return std::nullopt;
  // A task that has to start immediately does not wait for checkpoints.
  const bool is_latency_sensitive =
      input_.context.latency_sensitive_classes.contains(queued.job->spec.job_class);
  for (Victim& victim : VictimsOn(machine)) {
    if (victim.stopped || !IsVictimFor(queued, victim)) continue;
    const model::JobSpec& spec = victim.job->spec;
    const bool takes_checkpoint = spec.checkpoint_every_s > 0 && !is_latency_sensitive;
    const double grace_s = takes_checkpoint ? spec.checkpoint_s : 0;
    chosen_stops_.push_back({&victim, LostWork(spec, victim.ran_s, grace_s), grace_s});
  }
  std::sort(
      chosen_stops_.begin(), chosen_stops_.end(),
      [](const VictimStop& left, const VictimStop& right) { return left.lost_s < right.lost_s; });
  EvictionPlan eviction{0, free};
  size_t count = 0;
  for (; count < chosen_stops_.size() && !eviction.free_after.Fits(task_class.need); ++count) {
    eviction.free_after += chosen_stops_[count].victim->need;
    eviction.cost_s += chosen_stops_[count].lost_s;
  }
  if (count == 0 || !eviction.free_after.Fits(task_class.need)) return std::nullopt;
  chosen_stops_.resize(count);
  eviction.free_after -= task_class.need;
  return eviction;
}

// Returns the seconds until a task completes that starts on the resources freed by `chosen_stops_`.
double PreemptionPlanner::CompletionAfterPreemption(const TaskClass& task_class,
                                                    size_t machine) const {
  double grace_s = 0;
  for (const VictimStop& stop : chosen_stops_) grace_s = std::max(grace_s, stop.grace_s);
  // The stop takes effect after kStopReactionRatio reaction times; the task starts one reaction
  // time later.
  return grace_s + (kStopReactionRatio + 1) * ReactionTime(input_.context) +
         task_class.run_s[machine];
}

std::optional<PreemptionPlanner::PreemptionOption> PreemptionPlanner::EvaluateMachine(
    const QueuedJob& queued, const TaskClass& task_class, size_t machine, const Resources& free) {
  const auto eviction = ChooseVictims(queued, task_class, machine, free);
  if (!eviction) return std::nullopt;
  return PreemptionOption{eviction->cost_s, CompletionAfterPreemption(task_class, machine), machine,
                          free};
}

}  // namespace hallpier::plan
