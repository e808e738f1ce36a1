#include "jobs/job_table.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "store/decode_result.h"

namespace hallpier::jobs {
namespace {

std::string KeyOf(const store::TaskGroupKeyName& name) {
  if (name.part) return store::TaskGroupPartKey(name.job, name.task_group, *name.part);
  return store::TaskGroupKey(name.job, name.task_group);
}

}  // namespace

const Job* JobTable::Find(const std::string& id) const {
  auto job = jobs_.find(id);
  return job == jobs_.end() ? nullptr : &job->second;
}

const JobTable::Placements& JobTable::PlacementsOn(const std::string& machine) const {
  static const Placements kNone;
  auto placements = placements_by_machine_.find(machine);
  return placements == placements_by_machine_.end() ? kNone : placements->second;
}

void JobTable::RemovePlacement(const std::string& job, uint32_t index, const std::string& machine) {
  auto placements = placements_by_machine_.find(machine);
  if (placements == placements_by_machine_.end()) return;
  placements->second.erase({job, index});
  if (placements->second.empty()) placements_by_machine_.erase(placements);
}

void JobTable::UpdatePlacements(const std::string& job, const store::TaskGroup* before,
                                const store::TaskGroup* after) {
  // Merges both sorted maps: a change affects few tasks of a group, and only the placements of
  // these tasks are removed and added.
  static const std::map<uint32_t, store::TaskState> kNone;
  const auto& old_tasks = before == nullptr ? kNone : before->open;
  const auto& new_tasks = after == nullptr ? kNone : after->open;
  auto old_task = old_tasks.begin();
  auto new_task = new_tasks.begin();
  while (old_task != old_tasks.end() || new_task != new_tasks.end()) {
    const bool no_old = old_task == old_tasks.end();
    const bool no_new = new_task == new_tasks.end();
    const bool removed = no_new || (!no_old && old_task->first < new_task->first);
    const bool added = !removed && (no_old || new_task->first < old_task->first);
    const bool changed = !removed && !added && !(old_task->second == new_task->second);
    if ((removed || changed) && !old_task->second.machine.empty()) {
      RemovePlacement(job, old_task->first, old_task->second.machine);
    }
    if ((added || changed) && !new_task->second.machine.empty()) {
      placements_by_machine_[new_task->second.machine][{job, new_task->first}] =
          new_task->second.attempt;
    }
    if (!added) ++old_task;
    if (!removed) ++new_task;
  }
}

void JobTable::Apply(const store::ParsedKey& key, const std::string& value) {
  ApplyInBatch(key, value);
  FinishBatch();
}

void JobTable::FinishBatch() {
  dependency_graph_.PropagateUrgency();
  UpdateEffectiveStates();
}

void JobTable::ApplyInBatch(const store::ParsedKey& key, const std::string& value) {
  if (const auto* job = std::get_if<store::JobKeyName>(&key)) {
    ApplyJob(job->job, value);
    UpdateEffectiveStates();
  } else if (const auto* task_group = std::get_if<store::TaskGroupKeyName>(&key)) {
    ApplyTaskGroup(*task_group, value);
  } else if (std::holds_alternative<store::FormatKeyName>(key)) {
    // The format record is never deleted, and its layout never changes. store::RecordFormats logs
    // an unreadable format record.
    if (auto record = store::ReadFormat(value)) SetDefaultLayout(record->layout);
  }
}

void JobTable::SetFinalRecord(const std::string& id, const store::FinalRecord& final_record) {
  dependency_graph_.SetFinalRecord(id, final_record);
  FinishBatch();
}

void JobTable::UpdateEffectiveStates() {
  for (const std::string& id : dependency_graph_.TakeChanged()) {
    const DependencyGraph::EffectiveState* state = dependency_graph_.Find(id);
    auto entry = jobs_.find(id);
    if (state == nullptr || entry == jobs_.end()) continue;
    Job& job = entry->second;
    job.cancelled = state->cancelled;
    job.blocked = state->blocked;
    job.runnable_since = state->runnable_since;
    job.priority = state->priority;
    job.deadline = state->deadline;
  }
}

void JobTable::SetDefaultLayout(const store::TaskGroupLayout& layout) {
  if (layout == default_layout_) return;
  default_layout_ = layout;
  for (auto& [id, job] : jobs_) {
    if (job.uses_default_layout) job.groups.ChangeLayout(layout);
  }
  for (auto& [id, groups] : groups_without_job_) groups.ChangeLayout(layout);
}

void JobTable::RemoveJob(const std::string& id) {
  auto job = jobs_.find(id);
  if (job == jobs_.end()) return;
  dependency_graph_.Remove(id);
  if (!job->second.groups.StoredKeys(id).empty()) {
    groups_without_job_.insert_or_assign(id, std::move(job->second.groups));
  }
  jobs_.erase(job);
}

Job& JobTable::AddJob(const store::JobRecord& record) {
  const std::string& id = record.spec.id;
  const bool uses_default_layout = record.tasks_per_group == 0;
  const store::TaskGroupLayout layout =
      uses_default_layout ? default_layout_ : store::TaskGroupLayout{record.tasks_per_group, 1};
  TaskGroups groups(layout);
  if (auto stored = groups_without_job_.find(id); stored != groups_without_job_.end()) {
    groups = std::move(stored->second);
    groups.ChangeLayout(layout);
    groups_without_job_.erase(stored);
  }
  Job& job = jobs_.emplace(id, Job(std::move(groups))).first->second;
  job.uses_default_layout = uses_default_layout;
  return job;
}

void JobTable::ApplyJob(const std::string& id, const std::string& value) {
  if (value.empty()) {
    RemoveJob(id);
    return;
  }
  auto record = store::RecordOrLog(store::JobKey(id), store::ReadJob(value));
  if (!record) return;
  if (record->spec.id != id) {
    store::LogUnreadable(store::JobKey(id), {"spec.id", "names another job: " + record->spec.id});
    return;
  }
  auto known = jobs_.find(id);
  Job& job = known == jobs_.end() ? AddJob(*record) : known->second;
  dependency_graph_.AddOrUpdate(*record);
  job.spec = std::move(record->spec);
  job.submitted_at = record->submitted_at;
}

TaskGroups* JobTable::FindGroups(const std::string& id) {
  if (auto job = jobs_.find(id); job != jobs_.end()) return &job->second.groups;
  auto groups = groups_without_job_.find(id);
  return groups == groups_without_job_.end() ? nullptr : &groups->second;
}

void JobTable::SetGroup(const std::string& id, TaskGroups& groups, uint32_t number,
                        std::optional<store::TaskGroup> group) {
  auto old = groups.by_number().find(number);
  UpdatePlacements(id, old == groups.by_number().end() ? nullptr : &old->second,
                   group ? &*group : nullptr);
  groups.Set(number, std::move(group));
}

void JobTable::SetGroupsOfBaseGroup(const std::string& id, TaskGroups& groups, uint32_t base_group,
                                    const std::optional<store::TaskGroup>& value) {
  const store::TaskGroupLayout& layout = groups.layout();
  for (uint32_t part = 0; part < layout.parts_per_base_group; ++part) {
    const uint32_t number = base_group * layout.parts_per_base_group + part;
    if (groups.PartStored(number)) continue;
    std::optional<store::TaskGroup> group;
    const bool with_runs = part == 0;
    if (value)
      group = SliceTaskGroup(*value, layout.FirstTask(number), layout.EndTask(number), with_runs);
    if (group && group->empty()) group.reset();
    SetGroup(id, groups, number, std::move(group));
  }
}

void JobTable::ApplyTaskGroup(const store::TaskGroupKeyName& key, const std::string& value) {
  std::optional<store::TaskGroup> task_group;
  if (!value.empty()) {
    task_group = store::RecordOrLog(KeyOf(key), store::ReadTaskGroup(value));
    if (!task_group) return;
  }
  TaskGroups* groups = FindGroups(key.job);
  if (groups == nullptr) {
    if (!task_group) return;
    groups = &groups_without_job_.emplace(key.job, TaskGroups(default_layout_)).first->second;
  }
  const uint32_t parts = groups->layout().parts_per_base_group;
  if (key.part && *key.part >= parts) return;  // not in any recorded layout
  groups->SetStored(key, task_group.has_value());
  if (key.part) {
    SetGroup(key.job, *groups, key.task_group * parts + *key.part, std::move(task_group));
  } else if (parts == 1) {
    SetGroup(key.job, *groups, key.task_group, std::move(task_group));
  } else {
    SetGroupsOfBaseGroup(key.job, *groups, key.task_group, task_group);
  }
  auto without_job = groups_without_job_.find(key.job);
  if (without_job != groups_without_job_.end() && without_job->second.StoredKeys(key.job).empty()) {
    groups_without_job_.erase(without_job);
  }
}

std::vector<uint32_t> JobTable::WaitingTasks(const Job& job, size_t limit) const {
  std::vector<uint32_t> waiting;
  const store::TaskGroupLayout& layout = job.groups.layout();
  for (uint32_t number = 0; layout.FirstTask(number) < job.spec.tasks && waiting.size() < limit;
       ++number) {
    auto group = job.task_groups().find(number);
    const uint32_t end = std::min(job.spec.tasks, layout.EndTask(number));
    for (uint32_t i = layout.FirstTask(number); i < end && waiting.size() < limit; ++i) {
      if (group == job.task_groups().end() || group->second.IsWaiting(i)) waiting.push_back(i);
    }
  }
  return waiting;
}

uint64_t JobTable::NextAttempt(const Job& job, uint32_t index) const {
  const store::TaskState* open = job.FindOpen(index);
  return open == nullptr ? 1 : open->attempt + 1;
}

bool JobTable::ApplyTransition(const Job& job, const TaskTransition& transition,
                               store::TaskGroup* task_group) const {
  const uint32_t index = transition.task.index;
  auto open = task_group->open.find(index);
  const bool is_open = open != task_group->open.end();
  // True if the recorded attempt is still the one from which the transition was derived.
  const bool same_attempt = is_open && open->second.machine == transition.machine &&
                            open->second.attempt == transition.attempt;
  switch (transition.kind) {
    case TaskTransition::Kind::kPlace: {
      // No task is placed before all awaited jobs are recorded as done, whichever component
      // requests the placement.
      if (job.cancelled || job.blocked || index >= job.spec.tasks) return false;
      const uint64_t last_attempt = is_open ? open->second.attempt : 0;
      if (!task_group->IsWaiting(index) || transition.attempt != last_attempt + 1) return false;
      task_group->open[index] = {transition.attempt, transition.machine};
      return true;
    }
    case TaskTransition::Kind::kRequeue:
      if (!same_attempt) return false;
      open->second.machine.clear();
      return true;
    case TaskTransition::Kind::kDone:
      if (!same_attempt) return false;
      task_group->open.erase(open);
      task_group->done.Insert(index);
      if (transition.run_s > 0) {
        store::RunStats& stats = task_group->runs[transition.machine_type];
        ++stats.count;
        stats.sum_s += transition.run_s;
      }
      return true;
  }
  return false;
}

std::optional<store::JobRecord> JobTable::Record(const std::string& id) const {
  const Job* job = Find(id);
  if (job == nullptr) return std::nullopt;
  return store::JobRecord{job->spec, job->submitted_at, dependency_graph_.CancelledByOwnRecord(id),
                          job->uses_default_layout ? 0 : job->groups.layout().tasks_per_base_group};
}

std::optional<store::JobRecord> JobTable::CancelledRecord(const std::string& id) const {
  std::optional<store::JobRecord> record = Record(id);
  if (!record || record->cancelled) return std::nullopt;
  record->cancelled = true;
  return record;
}

std::vector<std::string> JobTable::CancelledJobs() const {
  std::vector<std::string> ids;
  for (const auto& [id, job] : jobs_) {
    if (dependency_graph_.CancelledByOwnRecord(id)) ids.push_back(id);
  }
  return ids;
}

std::vector<std::string> JobTable::ObsoleteKeys() const {
  std::vector<std::string> keys;
  auto append = [&keys](std::vector<std::string> more) {
    std::move(more.begin(), more.end(), std::back_inserter(keys));
  };
  for (const auto& [id, groups] : groups_without_job_) append(groups.StoredKeys(id));
  if (default_layout_.parts_per_base_group == 1) return keys;
  for (const auto& [id, job] : jobs_) append(job.groups.SupersededKeys(id));
  return keys;
}

}  // namespace hallpier::jobs
