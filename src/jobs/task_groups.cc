#include "jobs/task_groups.h"

#include <algorithm>
#include <utility>

namespace hallpier::jobs {
namespace {

// Returns one past the highest task index with recorded state in the group.
uint32_t EndOfTasks(const store::TaskGroup& group) {
  uint32_t end = group.open.empty() ? 0 : group.open.rbegin()->first + 1;
  const auto& done = group.done.ranges();
  if (!done.empty()) end = std::max(end, done.rbegin()->second + 1);
  return end;
}

}  // namespace

void TaskGroups::UpdateTotals(const store::TaskGroup& task_group, bool add) {
  // Subtracts by adding the negated value. Unsigned arithmetic wraps around and gives the right
  // result, since each subtracted value was added before.
  const uint32_t done = task_group.done.size();
  const uint32_t placed = task_group.placed();
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
    UpdateTotals(old->second, false);
    groups_.erase(old);
  }
  if (!group) return;
  UpdateTotals(*group, true);
  groups_[number] = std::move(*group);
}

store::TaskGroup TaskGroups::TakeAllAsOneGroup() {
  store::TaskGroup all;
  for (auto& [number, group] : std::exchange(groups_, {})) {
    UpdateTotals(group, false);
    for (const auto& [first, last] : group.done.ranges()) {
      for (uint32_t i = first; i <= last; ++i) all.done.Insert(i);
    }
    all.open.insert(group.open.begin(), group.open.end());
    for (const auto& [machine_type, stats] : group.runs) {
      store::RunStats& sum = all.runs[machine_type];
      sum.count += stats.count;
      sum.sum_s += stats.sum_s;
    }
  }
  return all;
}

void TaskGroups::ChangeLayout(store::TaskGroupLayout layout) {
  if (layout == layout_) return;
  // Regroups by task index, not by group number: groups that were read before their job's record
  // are numbered by the default layout, which may differ from the job's layout.
  const store::TaskGroup all = TakeAllAsOneGroup();
  layout_ = layout;
  const uint32_t end = EndOfTasks(all);
  for (uint32_t number = 0; layout.FirstTask(number) < end; ++number) {
    const bool with_runs = number == 0;
    store::TaskGroup part =
        SliceTaskGroup(all, layout.FirstTask(number), layout.EndTask(number), with_runs);
    if (!part.empty()) Set(number, std::move(part));
  }
}

void TaskGroups::SetStored(const store::TaskGroupKeyName& key, bool stored) {
  std::set<uint32_t>& keys = key.part ? stored_parts_ : stored_base_groups_;
  const uint32_t number =
      key.part ? key.task_group * layout_.parts_per_base_group + *key.part : key.task_group;
  if (stored) {
    keys.insert(number);
  } else {
    keys.erase(number);
  }
}

std::string TaskGroups::KeyOf(const std::string& id, uint32_t number) const {
  if (layout_.parts_per_base_group == 1) return store::TaskGroupKey(id, number);
  return store::TaskGroupPartKey(id, number / layout_.parts_per_base_group,
                                 number % layout_.parts_per_base_group);
}

std::vector<std::string> TaskGroups::StoredKeys(const std::string& id, uint32_t number) const {
  std::vector<std::string> keys;
  const uint32_t base_group = number / layout_.parts_per_base_group;
  if (stored_base_groups_.contains(base_group)) keys.push_back(store::TaskGroupKey(id, base_group));
  if (stored_parts_.contains(number)) keys.push_back(KeyOf(id, number));
  return keys;
}

std::vector<std::string> TaskGroups::StoredKeys(const std::string& id) const {
  std::vector<std::string> keys;
  for (uint32_t base_group : stored_base_groups_)
    keys.push_back(store::TaskGroupKey(id, base_group));
  for (uint32_t number : stored_parts_) keys.push_back(KeyOf(id, number));
  return keys;
}

bool TaskGroups::HasUnmigratedPart(uint32_t base_group) const {
  for (uint32_t part = 0; part < layout_.parts_per_base_group; ++part) {
    const uint32_t number = base_group * layout_.parts_per_base_group + part;
    if (groups_.contains(number) && !stored_parts_.contains(number)) return true;
  }
  return false;
}

std::vector<std::string> TaskGroups::SupersededKeys(const std::string& id) const {
  std::vector<std::string> keys;
  if (stored_parts_.empty()) return keys;
  for (uint32_t base_group : stored_base_groups_) {
    if (!HasUnmigratedPart(base_group)) keys.push_back(store::TaskGroupKey(id, base_group));
  }
  return keys;
}

}  // namespace hallpier::jobs
