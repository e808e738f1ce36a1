// The task groups of one job and their keys in the state service. Owned by the job table. Does no
// I/O.
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

// The layout (store/task_group_layout.h) numbers the groups. If it divides a base group into
// several parts, a base group that was stored before the change of record formats is split in
// memory as if its parts were stored. A part gets a separate key when it is first written; from
// then on the value of that key replaces the entries of the base group for the tasks of the part.
class TaskGroups {
 public:
  explicit TaskGroups(store::TaskGroupLayout layout) : layout_(layout) {}

  const store::TaskGroupLayout& layout() const { return layout_; }
  // Returns the groups by number. Groups of which no task was ever placed are omitted.
  const std::map<uint32_t, store::TaskGroup>& by_number() const { return groups_; }
  // Replaces a group; removes it if `group` is std::nullopt.
  void Set(uint32_t number, std::optional<store::TaskGroup> group);
  // Regroups the tasks according to another layout.
  void ChangeLayout(store::TaskGroupLayout layout);

  // Records whether the key of a base group or of a part exists.
  void SetStored(const store::TaskGroupKeyName& key, bool stored);
  bool PartStored(uint32_t number) const { return stored_parts_.contains(number); }
  // Returns the key under which the group `number` of the job `id` is written.
  std::string KeyOf(const std::string& id, uint32_t number) const;
  // Returns the stored keys that hold state of a group, base groups first.
  std::vector<std::string> StoredKeys(const std::string& id, uint32_t number) const;
  // Returns all stored keys of the job, base groups first.
  std::vector<std::string> StoredKeys(const std::string& id) const;
  // Returns the keys of base groups that are no longer needed: each task of such a base group is in
  // a stored part or was never placed.
  std::vector<std::string> SupersededKeys(const std::string& id) const;

  // Totals over all groups: done tasks, placed tasks, and run times by machine type and over all
  // types.
  uint32_t done() const { return done_; }
  uint32_t placed() const { return placed_; }
  const std::map<std::string, store::RunStats>& runs() const { return runs_; }
  const store::RunStats& all_runs() const { return all_runs_; }

 private:
  // Adds a group to the totals, or subtracts it if `add` is false.
  void UpdateTotals(const store::TaskGroup& task_group, bool add);
  // Removes all groups and returns their contents as one group.
  store::TaskGroup TakeAllAsOneGroup();
  // Returns true if the base group's value contains state of a part that has no key yet.
  bool HasUnmigratedPart(uint32_t base_group) const;

  store::TaskGroupLayout layout_;
  std::map<uint32_t, store::TaskGroup> groups_;
  std::set<uint32_t> stored_base_groups_;
  std::set<uint32_t> stored_parts_;  // by group number; empty if a base group is one part
  // The totals are updated with each change, since every round reads them many times.
  uint32_t done_ = 0;
  uint32_t placed_ = 0;
  std::map<std::string, store::RunStats> runs_;
  store::RunStats all_runs_;
};

}  // namespace hallpier::jobs
