#include "jobs/job_changes.h"

#include <algorithm>

namespace hallpier::jobs {
namespace {

// Sums `count` over the task groups of a job as they are once its changes are written.
template <class Count>
uint32_t SumAfter(const JobChanges& changes, Count count) {
  uint32_t sum = 0;
  for (const auto& [number, task_group] : changes.job->task_groups()) {
    if (!changes.task_groups.contains(number)) sum += count(task_group);
  }
  for (const auto& [number, change] : changes.task_groups) sum += count(change.after);
  return sum;
}

// Adds a transition to the changes of its job, unless the records no longer allow it.
void AddTransition(const JobTable& job_table, const TaskTransition& transition, double max_wait_s,
                   JobChanges& changes) {
  const Job& job = *changes.job;
  const uint32_t number = job.groups.layout().GroupOf(transition.task.index);
  auto [entry, first_change] = changes.task_groups.try_emplace(number);
  TaskGroupChange& change = entry->second;
  if (first_change) {
    auto current = job.task_groups().find(number);
    if (current != job.task_groups().end()) change.after = current->second;
  }
  if (!job_table.ApplyTransition(job, transition, &change.after)) {
    if (first_change) changes.task_groups.erase(entry);
    return;
  }
  if (transition.kind == TaskTransition::Kind::kPlace) {
    change.placements.push_back({transition.task.index, transition.machine});
  }
  const WritePriority priority = TransitionPriority(job, transition, max_wait_s);
  change.priority = first_change ? priority : std::min(change.priority, priority);
}

}  // namespace

uint32_t JobChanges::DoneAfter() const {
  return SumAfter(*this, [](const store::TaskGroup& group) { return group.done.size(); });
}

uint32_t JobChanges::PlacedAfter() const {
  return SumAfter(*this, [](const store::TaskGroup& group) { return group.placed(); });
}

RoundChanges CollectChanges(const JobTable& job_table,
                            const std::vector<TaskTransition>& transitions, double max_wait_s) {
  RoundChanges changes;
  for (const TaskTransition& transition : transitions) {
    const Job* job = job_table.Find(transition.task.job);
    if (job == nullptr) continue;
    auto [entry, first_mention] = changes.by_job.try_emplace(transition.task.job);
    if (first_mention) {
      entry->second.job = job;
      changes.order.push_back(transition.task.job);
    }
    AddTransition(job_table, transition, max_wait_s, entry->second);
  }
  return changes;
}

void AddFinishedJobs(const JobTable& job_table, RoundChanges& changes) {
  for (const auto& [id, job] : job_table.jobs()) {
    const bool finished = job.cancelled ? job.placed() == 0 : job.done() == job.spec.tasks;
    if (!finished || changes.by_job.contains(id)) continue;
    changes.by_job[id].job = &job;
    changes.order.push_back(id);
  }
}

}  // namespace hallpier::jobs
