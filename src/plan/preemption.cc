#include "plan/preemption.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "plan/run_time.h"

namespace hallpier::plan {
namespace {

// A task whose start was not observed has run for this part of its run time, on average.
constexpr double kUnobservedRun = 0.5;
// Urgent work without an objective for its start waits for this many reaction times.
constexpr double kUrgentPatienceReactions = 2;

// Seconds of work that are lost if a task is stopped that has run for `ran_s`.
double LostWork(const model::JobSpec& spec, double ran_s, double grace_s) {
  if (spec.checkpoint_every_s <= 0) return ran_s;
  return grace_s > 0 ? spec.checkpoint_s : std::fmod(ran_s, spec.checkpoint_every_s);
}

}  // namespace

std::vector<Preemption> PreemptionPlanner::PreemptFor(const QueuedJob& queued,
                                                      const TaskClass& task_class,
                                                      std::vector<ExpectedStart> expected) {
  std::vector<Preemption> preemptions;
  if (!MayPreempt(queued)) return preemptions;
  const double patience = Patience(queued);
  std::erase_if(expected, [&](const ExpectedStart& task) { return task.start <= patience; });
  if (expected.empty()) return preemptions;
  auto dearer = [](const Offer& left, const Offer& right) { return left.cost_s > right.cost_s; };
  std::vector<Offer> offers;
  for (size_t i = 0; i < machines_.size(); ++i) {
    auto offer = OfferOf(queued, task_class, i, machines_.slots[i].timeline.free_now());
    if (offer) offers.push_back(*offer);
  }
  std::make_heap(offers.begin(), offers.end(), dearer);
  // The task that would wait longest first.
  std::sort(expected.begin(), expected.end(),
            [](const ExpectedStart& left, const ExpectedStart& right) {
              return left.completion > right.completion;
            });
  for (const ExpectedStart& task : expected) {
    // Compared by completion, as the mapping does. Otherwise the task would still prefer another
    // slot, the stopped tasks would start again in the resources that they freed, and be stopped
    // again.
    while (!offers.empty() && offers.front().completion > task.completion) {
      std::pop_heap(offers.begin(), offers.end(), dearer);
      offers.pop_back();
    }
    if (offers.empty()) break;
    std::pop_heap(offers.begin(), offers.end(), dearer);
    const Offer taken = offers.back();
    offers.pop_back();
    const auto eviction = ChooseStops(queued, task_class, taken.machine, taken.free);
    if (!eviction) continue;  // not possible: the machine has not changed since its offer
    for (const Stop& stop : stops_) {
      stop.victim->stopped = true;
      preemptions.push_back({stop.victim->task, stop.victim->attempt,
                             machines_.machines[taken.machine]->name, stop.grace_s,
                             queued.job->spec.id});
    }
    if (auto next = OfferOf(queued, task_class, taken.machine, eviction->free_after)) {
      offers.push_back(*next);
      std::push_heap(offers.begin(), offers.end(), dearer);
    }
  }
  return preemptions;
}

// Only who comes first in the order keeps the resources that are freed.
bool PreemptionPlanner::MayPreempt(const QueuedJob& queued) const {
  return queued.job->priority <= model::Priority::kUrgent ||
         order_.IsGuaranteeOverdue(*queued.job, queued.within_guarantee);
}

// Seconds for which a task may still wait before others are stopped for it.
double PreemptionPlanner::Patience(const QueuedJob& queued) const {
  if (queued.job->priority > model::Priority::kUrgent) return LongestBootTime(input_.context);
  const double reaction = ReactionTime(input_.context);
  const config::Objective* objective =
      input_.context.settings->FindObjective("wait", queued.job->spec.job_class);
  if (objective == nullptr) return kUrgentPatienceReactions * reaction;
  const double waited = std::max(0.0, input_.AgeOf(*queued.job));
  return std::max(reaction, objective->within_s - waited - reaction);
}

// All victims are looked up at the first call, for all classes of the round.
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
    if (job == nullptr || reported == nullptr || reported->state != model::TaskPhase::kRunning ||
        input_.registry.stop_requests().Contains(task, attempt)) {
      continue;
    }
    const auto found = queue_.tiers.find(job);
    const int tier = found == queue_.tiers.end() ? std::numeric_limits<int>::max() : found->second;
    // A new leader has not seen it start: it may have run for most of its time by then. Were it
    // taken for new, a failover under load would stop the tasks that have run longest.
    const double unobserved_s =
        reported->start_observed ? 0 : kUnobservedRun * PredictRunTime(*job, machine.machine_type);
    victims.push_back({task, attempt, job, tier, unobserved_s + input_.now - reported->since,
                       RequirementOf(job->spec)});
  }
  return victims;
}

bool PreemptionPlanner::IsVictimFor(const QueuedJob& queued, const Victim& victim) const {
  // What comes first in the order would get the resources again, and be stopped again.
  if (victim.tier <= TierOfRank(queued.rank)) return false;
  if (victim.job->priority > queued.job->priority) return true;
  return order_.IsGuaranteeOverdue(*queued.job, queued.within_guarantee) &&
         victim.job->spec.team != queued.job->spec.team && !queue_.guaranteed.contains(victim.job);
}

// The cheapest stops that free enough on a machine for one more task are left in `stops_`. `free`:
// what is free there before. Nothing if no stops do, or none is needed.
std::optional<PreemptionPlanner::Eviction> PreemptionPlanner::ChooseStops(
    const QueuedJob& queued, const TaskClass& task_class, size_t machine, const Resources& free) {
  stops_.clear();
  if (task_class.run_s[machine] < 0) return std::nullopt;
  // What is to start at once does not wait for a checkpoint.
  const bool latency_sensitive_classes =
      input_.context.latency_sensitive_classes.contains(queued.job->spec.job_class);
  for (Victim& victim : VictimsOn(machine)) {
    if (victim.stopped || !IsVictimFor(queued, victim)) continue;
    const model::JobSpec& spec = victim.job->spec;
    const bool saves = spec.checkpoint_every_s > 0 && !latency_sensitive_classes;
    const double grace_s = saves ? spec.checkpoint_s : 0;
    stops_.push_back({&victim, LostWork(spec, victim.ran_s, grace_s), grace_s});
  }
  std::sort(stops_.begin(), stops_.end(),
            [](const Stop& left, const Stop& right) { return left.lost_s < right.lost_s; });
  Eviction eviction{0, free};
  size_t count = 0;
  for (; count < stops_.size() && !eviction.free_after.Fits(task_class.need); ++count) {
    eviction.free_after += stops_[count].victim->need;
    eviction.cost_s += stops_[count].lost_s;
  }
  if (count == 0 || !eviction.free_after.Fits(task_class.need)) return std::nullopt;
  stops_.resize(count);
  eviction.free_after -= task_class.need;
  return eviction;
}

// Seconds until a task would complete that gets what `stops_` free.
double PreemptionPlanner::CompletionAfterStops(const TaskClass& task_class, size_t machine) const {
  double grace_s = 0;
  for (const Stop& stop : stops_) grace_s = std::max(grace_s, stop.grace_s);
  // The stop is carried out, and the task is started one reaction later.
  return grace_s + (kStopReactions + 1) * ReactionTime(input_.context) + task_class.run_s[machine];
}

std::optional<PreemptionPlanner::Offer> PreemptionPlanner::OfferOf(const QueuedJob& queued,
                                                                   const TaskClass& task_class,
                                                                   size_t machine,
                                                                   const Resources& free) {
  const auto eviction = ChooseStops(queued, task_class, machine, free);
  if (!eviction) return std::nullopt;
  return Offer{eviction->cost_s, CompletionAfterStops(task_class, machine), machine, free};
}

}  // namespace hallpier::plan
