// The task groups of one job, and the keys under which they are stored. Owned by the job table;
// does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "store/keys.h"
#include "store/task_group.h"
#include "store/task_group_layout.h"

namespace hallpier::jobs {

// The groups are numbered by the layout. Where the layout keeps a whole in several parts, a whole
// that was stored before the change of formats is split up here as if its parts were stored. Each
// part gets its own key when it is first written, and from then on that key counts instead of what
// the whole says of the part's tasks.
class TaskGroups {
 public:
  explicit TaskGroups(store::TaskGroupLayout layout) : layout_(layout) {}

  const store::TaskGroupLayout& layout() const { return layout_; }
  // By group number; groups of which no task was ever placed are missing.
  const std::map<uint32_t, store::TaskGroup>& all() const { return groups_; }
  // Replaces a group; nothing: the group is removed.
  void Set(uint32_t number, std::optional<store::TaskGroup> group);
  // Sorts the same tasks into the groups of another layout.
  void ChangeLayout(store::TaskGroupLayout layout);

  // Notes whether the key of a whole or of a part exists.
  void SetStored(const store::TaskGroupKeyName& key, bool stored);
  bool PartStored(uint32_t number) const { return stored_parts_.contains(number); }
  // The key under which the group `number` of the job `id` is written.
  std::string KeyOf(const std::string& id, uint32_t number) const;
  // The stored keys that say something of a group, wholes first.
  std::vector<std::string> StoredKeys(const std::string& id, uint32_t number) const;
  // All stored keys of the job, wholes first.
  std::vector<std::string> StoredKeys(const std::string& id) const;
  // The keys of wholes that nothing needs any more: each of their tasks is in a stored part, or was
  // never placed.
  std::vector<std::string> SupersededKeys(const std::string& id) const;

  // Sums over all groups: tasks that are done, tasks on machines, run times by machine type and
  // over all types.
  uint32_t done() const { return done_; }
  uint32_t placed() const { return placed_; }
  const std::map<std::string, store::RunStats>& runs() const { return runs_; }
  const store::RunStats& all_runs() const { return all_runs_; }

 private:
  // Adds a group to the sums, or subtracts it.
  void Count(const store::TaskGroup& task_group, bool add);
  // Removes all groups and returns what they held as one group.
  store::TaskGroup TakeAll();
  bool HasPartToCarryOver(uint32_t whole) const;

  store::TaskGroupLayout layout_;
  std::map<uint32_t, store::TaskGroup> groups_;
  std::set<uint32_t> stored_wholes_;
  std::set<uint32_t> stored_parts_;  // by group number; only where a whole has several parts
  // The sums are kept up to date with each change, since every round asks for them many times.
  uint32_t done_ = 0;
  uint32_t placed_ = 0;
  std::map<std::string, store::RunStats> runs_;
  store::RunStats all_runs_;
};

}  // namespace hallpier::jobs
