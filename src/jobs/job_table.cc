#include "jobs/job_table.h"

#include <spdlog/spdlog.h>

#include <iterator>
#include <utility>

namespace hallpier::jobs {

void TaskGroups::Count(const store::TaskGroup& task_group, bool add) {
  // Unsigned sums wrap and come back: what is taken off was added before.
  const uint32_t done = task_group.done.size(), placed = task_group.placed();
  done_ += add ? done : -done;
  placed_ += add ? placed : -placed;
  for (const auto& [machine_type, stats] : task_group.runs) {
    for (store::RunStats* sum : {&runs_[machine_type], &all_runs_}) {
      sum->count += add ? stats.count : -stats.count;
      sum->sum_s += add ? stats.sum_s : -stats.sum_s;
    }
  }
}

void TaskGroups::Set(uint32_t number, std::optional<store::TaskGroup> group) {
  if (auto old = groups_.find(number); old != groups_.end()) {
    Count(old->second, false);
    groups_.erase(old);
  }
  if (!group) return;
  Count(*group, true);
  groups_[number] = std::move(*group);
}

void TaskGroups::Divide(store::Layout layout) {
  if (layout == layout_) return;
  // By the tasks themselves: groups that came before their job's record were numbered on a guess.
  store::TaskGroup all;
  for (auto& [number, group] : std::exchange(groups_, {})) {
    Count(group, false);
    for (const auto& [first, last] : group.done.ranges()) {
      for (uint32_t i = first; i <= last; ++i) all.done.Insert(i);
    }
    all.open.insert(group.open.begin(), group.open.end());
    for (const auto& [machine_type, stats] : group.runs) {
      all.runs[machine_type].count += stats.count;
      all.runs[machine_type].sum_s += stats.sum_s;
    }
  }
  layout_ = layout;
  uint32_t end = all.open.empty() ? 0 : all.open.rbegin()->first + 1;
  if (!all.done.ranges().empty()) end = std::max(end, all.done.ranges().rbegin()->second + 1);
  for (uint32_t n = 0; layout.First(n) < end; ++n) {
    store::TaskGroup part = Slice(all, layout.First(n), layout.End(n), n == 0);
    if (!part.empty()) Set(n, std::move(part));
  }
}

void TaskGroups::SetStored(const store::ParsedKey& key, bool there) {
  std::set<uint32_t>& keys = key.part ? parts_ : wholes_;
  const uint32_t number = key.part ? key.task_group * layout_.parts + *key.part : key.task_group;
  if (there) {
    keys.insert(number);
  } else {
    keys.erase(number);
  }
}

std::string TaskGroups::KeyOf(const std::string& id, uint32_t number) const {
  if (layout_.parts == 1) return store::TaskGroupKey(id, number);
  return store::TaskGroupPartKey(id, number / layout_.parts, number % layout_.parts);
}

std::vector<std::string> TaskGroups::StoredKeys(const std::string& id, uint32_t number) const {
  std::vector<std::string> out;
  const uint32_t whole = number / layout_.parts;
  if (wholes_.contains(whole)) out.push_back(store::TaskGroupKey(id, whole));
  if (parts_.contains(number)) out.push_back(KeyOf(id, number));
  return out;
}

std::vector<std::string> TaskGroups::StoredKeys(const std::string& id) const {
  std::vector<std::string> out;
  for (uint32_t whole : wholes_) out.push_back(store::TaskGroupKey(id, whole));
  for (uint32_t number : parts_) out.push_back(KeyOf(id, number));
  return out;
}

std::vector<std::string> TaskGroups::Superseded(const std::string& id) const {
  std::vector<std::string> out;
  if (parts_.empty()) return out;
  for (uint32_t whole : wholes_) {
    bool needed = false;
    for (uint32_t p = 0; p < layout_.parts; ++p) {
      const uint32_t number = whole * layout_.parts + p;
      needed = needed || (groups_.contains(number) && !parts_.contains(number));
    }
    if (!needed) out.push_back(store::TaskGroupKey(id, whole));
  }
  return out;
}

model::JobStatus Job::Status() const {
  model::JobStatus s;
  s.id = spec.id;
  s.done = done();
  s.running = placed();
  s.phase = cancelled        ? model::JobPhase::kCancelled
            : s.running != 0 ? model::JobPhase::kRunning
                             : model::JobPhase::kPending;
  return s;
}

const store::TaskState* Job::FindOpen(uint32_t index) const {
  auto group = task_groups().find(groups.layout().GroupOf(index));
  if (group == task_groups().end()) return nullptr;
  auto open = group->second.open.find(index);
  return open == group->second.open.end() ? nullptr : &open->second;
}

std::optional<double> Job::MeanRun(const std::string& machine_type) const {
  auto it = groups.runs().find(machine_type);
  if (it == groups.runs().end() || it->second.count == 0) return std::nullopt;
  return it->second.sum_s / static_cast<double>(it->second.count);
}

std::optional<double> Job::MeanRun() const {
  const store::RunStats& all = groups.all_runs();
  if (all.count == 0) return std::nullopt;
  return all.sum_s / static_cast<double>(all.count);
}

const Job* JobTable::Find(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const JobTable::Placements& JobTable::On(const std::string& machine) const {
  static const Placements kNone;
  auto it = by_machine_.find(machine);
  return it == by_machine_.end() ? kNone : it->second;
}

void JobTable::Unplace(const std::string& job, uint32_t index, const std::string& machine) {
  auto it = by_machine_.find(machine);
  if (it == by_machine_.end()) return;
  it->second.erase({job, index});
  if (it->second.empty()) by_machine_.erase(it);
}

void JobTable::Index(const std::string& job, const store::TaskGroup* before,
                     const store::TaskGroup* after) {
  // A change moves few of a group's tasks: only these are taken out and put in.
  static const std::map<uint32_t, store::TaskState> kNone;
  const auto& old = before == nullptr ? kNone : before->open;
  const auto& now = after == nullptr ? kNone : after->open;
  auto o = old.begin();
  auto n = now.begin();
  while (o != old.end() || n != now.end()) {
    const bool left = n == now.end() || (o != old.end() && o->first < n->first);
    const bool came = !left && (o == old.end() || n->first < o->first);
    const bool moved = !left && !came && !(o->second == n->second);
    if ((left || moved) && !o->second.machine.empty()) Unplace(job, o->first, o->second.machine);
    if ((came || moved) && !n->second.machine.empty()) {
      by_machine_[n->second.machine][{job, n->first}] = n->second.attempt;
    }
    if (!came) ++o;
    if (!left) ++n;
  }
}

void JobTable::Apply(const store::ParsedKey& key, const std::string& value) {
  switch (key.kind) {
    case store::KeyKind::kFormat:
      // It is never dropped, and what it says of the layout never changes.
      if (auto record = store::ReadFormat(value)) SetCommonLayout(record->layout);
      break;
    case store::KeyKind::kJob:
      ApplyJob(key.job, value);
      UpdateViews();
      break;
    case store::KeyKind::kTaskGroup:
      ApplyTaskGroup(key, value);
      break;
    default:
      break;
  }
}

void JobTable::RecordFinal(const std::string& id, const store::FinalRecord& r) {
  dependency_graph_.RecordFinal(id, r);
  UpdateViews();
}

void JobTable::UpdateViews() {
  for (const std::string& id : dependency_graph_.TakeTouched()) {
    const DependencyGraph::View* view = dependency_graph_.Find(id);
    auto it = jobs_.find(id);
    if (view == nullptr || it == jobs_.end()) continue;
    Job& job = it->second;
    job.cancelled = view->cancelled;
    job.blocked = view->blocked;
    job.since = view->since;
    job.priority = view->priority;
    job.due = view->due;
  }
}

void JobTable::SetCommonLayout(const store::Layout& layout) {
  if (layout == common_) return;
  common_ = layout;
  for (auto& [id, job] : jobs_) {
    if (job.common_layout) job.groups.Divide(layout);
  }
  for (auto& [id, groups] : orphans_) groups.Divide(layout);
}

void JobTable::ApplyJob(const std::string& id, const std::string& value) {
  auto it = jobs_.find(id);
  if (value.empty()) {
    if (it == jobs_.end()) return;
    dependency_graph_.Drop(id);
    if (!it->second.groups.StoredKeys(id).empty()) {
      orphans_.insert_or_assign(id, std::move(it->second.groups));
    }
    jobs_.erase(it);
    return;
  }
  auto record = store::ReadJob(value);
  if (!record || record->spec.id != id) {
    spdlog::error("state: job record {} can't be read; it is left as it is", id);
    return;
  }
  if (it == jobs_.end()) {
    const store::Layout layout = record->group > 0 ? store::Layout{record->group, 1} : common_;
    TaskGroups groups(layout);
    if (auto lost = orphans_.find(id); lost != orphans_.end()) {
      groups = std::move(lost->second);
      groups.Divide(layout);
      orphans_.erase(lost);
    }
    it = jobs_.emplace(id, Job(std::move(groups))).first;
    it->second.common_layout = record->group == 0;
  }
  dependency_graph_.Put(*record);
  it->second.spec = std::move(record->spec);
  it->second.submitted = record->submitted;
}

void JobTable::SetGroup(const std::string& id, TaskGroups& groups, uint32_t number,
                        std::optional<store::TaskGroup> group) {
  auto old = groups.all().find(number);
  Index(id, old == groups.all().end() ? nullptr : &old->second, group ? &*group : nullptr);
  groups.Set(number, std::move(group));
}

void JobTable::ApplyTaskGroup(const store::ParsedKey& key, const std::string& value) {
  std::optional<store::TaskGroup> task_group;
  if (!value.empty()) {
    task_group = store::ReadTaskGroup(value);
    if (!task_group) {
      spdlog::error("state: tasks {}/{} can't be read; they are left as they are", key.job,
                    key.task_group);
      return;
    }
  }
  TaskGroups* groups = nullptr;
  if (auto job = jobs_.find(key.job); job != jobs_.end()) {
    groups = &job->second.groups;
  } else if (auto lost = orphans_.find(key.job); lost != orphans_.end()) {
    groups = &lost->second;
  } else if (task_group) {
    groups = &orphans_.emplace(key.job, TaskGroups(common_)).first->second;
  } else {
    return;
  }
  const store::Layout& layout = groups->layout();
  const uint32_t parts = layout.parts;
  if (key.part && *key.part >= parts) return;  // of no layout that was ever recorded
  groups->SetStored(key, task_group.has_value());
  if (key.part || parts == 1) {
    SetGroup(key.job, *groups, key.part ? key.task_group * parts + *key.part : key.task_group,
             std::move(task_group));
  } else {
    for (uint32_t p = 0; p < parts; ++p) {
      const uint32_t number = key.task_group * parts + p;
      if (groups->PartStored(number)) continue;
      std::optional<store::TaskGroup> part;
      if (task_group) part = Slice(*task_group, layout.First(number), layout.End(number), p == 0);
      if (part && part->empty()) part.reset();
      SetGroup(key.job, *groups, number, std::move(part));
    }
  }
  if (auto lost = orphans_.find(key.job);
      lost != orphans_.end() && lost->second.StoredKeys(key.job).empty()) {
    orphans_.erase(lost);
  }
}

std::vector<uint32_t> JobTable::Waiting(const Job& job, size_t limit) const {
  std::vector<uint32_t> out;
  const store::Layout& layout = job.groups.layout();
  for (uint32_t g = 0; layout.First(g) < job.spec.tasks && out.size() < limit; ++g) {
    auto it = job.task_groups().find(g);
    const uint32_t end = std::min(job.spec.tasks, layout.End(g));
    for (uint32_t i = layout.First(g); i < end && out.size() < limit; ++i) {
      if (it != job.task_groups().end()) {
        if (it->second.done.Contains(i)) continue;
        auto open = it->second.open.find(i);
        if (open != it->second.open.end() && !open->second.machine.empty()) continue;
      }
      out.push_back(i);
    }
  }
  return out;
}

uint64_t JobTable::NextAttempt(const Job& job, uint32_t index) const {
  const store::TaskState* open = job.FindOpen(index);
  return open == nullptr ? 1 : open->attempt + 1;
}

bool JobTable::Change(const Job& job, const TaskTransition& m, store::TaskGroup* task_group) const {
  const uint32_t i = m.task.index;
  auto open = task_group->open.find(i);
  const bool ours = open != task_group->open.end() && open->second.machine == m.machine &&
                    open->second.attempt == m.attempt;
  switch (m.kind) {
    case TaskTransition::Kind::kPlace: {
      // Whoever asked for it: nothing starts before all awaited jobs are recorded as done.
      if (job.cancelled || job.blocked || i >= job.spec.tasks || task_group->done.Contains(i))
        return false;
      const bool waits = open == task_group->open.end() || open->second.machine.empty();
      const uint64_t last = open == task_group->open.end() ? 0 : open->second.attempt;
      if (!waits || m.attempt != last + 1) return false;
      task_group->open[i] = {m.attempt, m.machine};
      return true;
    }
    case TaskTransition::Kind::kRequeue:
      if (!ours) return false;
      open->second.machine.clear();
      return true;
    case TaskTransition::Kind::kDone:
      if (!ours) return false;
      task_group->open.erase(open);
      task_group->done.Insert(i);
      if (m.run_s > 0) {
        auto& stats = task_group->runs[m.machine_type];
        ++stats.count;
        stats.sum_s += m.run_s;
      }
      return true;
  }
  return false;
}

std::optional<store::JobRecord> JobTable::Record(const std::string& id) const {
  const Job* job = Find(id);
  if (job == nullptr) return std::nullopt;
  return store::JobRecord{job->spec, job->submitted, dependency_graph_.CancelledItself(id),
                          job->common_layout ? 0 : job->groups.layout().whole};
}

std::optional<store::JobRecord> JobTable::CancelledRecord(const std::string& id) const {
  std::optional<store::JobRecord> record = Record(id);
  if (!record || record->cancelled) return std::nullopt;
  record->cancelled = true;
  return record;
}

std::vector<std::string> JobTable::CancelledJobs() const {
  std::vector<std::string> out;
  for (const auto& [id, job] : jobs_) {
    if (dependency_graph_.CancelledItself(id)) out.push_back(id);
  }
  return out;
}

std::vector<std::string> JobTable::Leftovers() const {
  std::vector<std::string> out;
  auto add = [&out](std::vector<std::string> keys) {
    std::move(keys.begin(), keys.end(), std::back_inserter(out));
  };
  for (const auto& [id, groups] : orphans_) add(groups.StoredKeys(id));
  if (common_.parts == 1) return out;
  for (const auto& [id, job] : jobs_) add(job.groups.Superseded(id));
  return out;
}

}  // namespace hallpier::jobs
