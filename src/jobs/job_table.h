// All unfinished jobs and placements as recorded in the state service.
//
// Each node has one table, to which every change that its watch cache receives is applied. Does no
// I/O; used only on the thread of the node's event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/dependency_graph.h"
#include "jobs/job.h"
#include "jobs/task_groups.h"
#include "jobs/task_transition.h"
#include "model/job.h"
#include "model/task.h"
#include "store/keys.h"
#include "store/records.h"
#include "store/task_group.h"
#include "store/task_group_layout.h"

namespace hallpier::jobs {

class JobTable {
 public:
  // `tasks_per_group`: group size of jobs whose records have none, until the format record is read.
  explicit JobTable(uint32_t tasks_per_group) : default_layout_{tasks_per_group, 1} {}

  // Applies a change of the stored state; keys that do not belong to jobs are ignored. An empty
  // `value` means that the key was deleted. An unreadable record is logged, and the table keeps the
  // previous state.
  void Apply(const store::ParsedKey& key, const std::string& value);
  // Like Apply(), for a change that is one of many. The priorities and deadlines that jobs inherit
  // are up to date after FinishBatch(), which updates each job once for all changes.
  void ApplyInBatch(const store::ParsedKey& key, const std::string& value);
  void FinishBatch();
  // Sets the final record of an awaited job, which this node has read for this purpose or written.
  void SetFinalRecord(const std::string& id, const store::FinalRecord& final_record);
  const DependencyGraph& dependency_graph() const { return dependency_graph_; }
  // The layout of jobs whose records have no group size.
  const store::TaskGroupLayout& default_layout() const { return default_layout_; }

  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
  // Returns nullptr if there is no unfinished job with this id.
  const Job* Find(const std::string& id) const;
  using Placements = std::map<model::TaskId, uint64_t>;  // task -> attempt
  const std::unordered_map<std::string, Placements>& placements_by_machine() const {
    return placements_by_machine_;
  }
  const Placements& PlacementsOn(const std::string& machine) const;

  // Returns the lowest indexes of tasks that are neither done nor placed, at most `limit`.
  std::vector<uint32_t> WaitingTasks(const Job& job, size_t limit) const;
  // Returns the attempt number of the next placement of a waiting task.
  uint64_t NextAttempt(const Job& job, uint32_t index) const;

  // Applies a transition to `task_group`, a copy of the task's group. Returns false, with
  // `task_group` unchanged, if the records no longer allow the transition.
  bool ApplyTransition(const Job& job, const TaskTransition& transition,
                       store::TaskGroup* task_group) const;
  // Returns the record of a job; std::nullopt if there is no such job.
  std::optional<store::JobRecord> Record(const std::string& id) const;
  // Returns the record that cancels a job; std::nullopt if there is no such job or its own record
  // is already cancelled.
  std::optional<store::JobRecord> CancelledRecord(const std::string& id) const;
  // Returns the unfinished jobs whose own records are cancelled.
  std::vector<std::string> CancelledJobs() const;
  // Returns stored keys that are no longer needed: task groups of final jobs that did not fit in
  // the transaction of the final record, and base groups (store/task_group_layout.h) whose parts
  // are all stored under separate keys.
  std::vector<std::string> ObsoleteKeys() const;

 private:
  void ApplyJob(const std::string& id, const std::string& value);
  void RemoveJob(const std::string& id);
  // Adds the job of a record that is read for the first time.
  Job& AddJob(const store::JobRecord& record);
  void ApplyTaskGroup(const store::TaskGroupKeyName& key, const std::string& value);
  // Returns the groups of a job, even if its record is missing; nullptr if neither its record nor
  // any of its groups is known.
  TaskGroups* FindGroups(const std::string& id);
  void SetGroup(const std::string& id, TaskGroups& groups, uint32_t number,
                std::optional<store::TaskGroup> group);
  // Sets the parts of a base group from its value, except for those stored under separate keys.
  void SetGroupsOfBaseGroup(const std::string& id, TaskGroups& groups, uint32_t base_group,
                            const std::optional<store::TaskGroup>& value);
  void SetDefaultLayout(const store::TaskGroupLayout& layout);
  // Updates placements_by_machine_ for a group that changes from `before` to `after`; nullptr
  // stands for a group without tasks.
  void UpdatePlacements(const std::string& job, const store::TaskGroup* before,
                        const store::TaskGroup* after);
  void RemovePlacement(const std::string& job, uint32_t index, const std::string& machine);
  // Copies changed effective states from the dependency graph to the jobs.
  void UpdateEffectiveStates();

  store::TaskGroupLayout default_layout_;
  std::unordered_map<std::string, Job> jobs_;
  // Stored groups of jobs whose records are missing: not read yet, or already deleted.
  std::map<std::string, TaskGroups> groups_without_job_;
  std::unordered_map<std::string, Placements> placements_by_machine_;
  DependencyGraph dependency_graph_;
};

}  // namespace hallpier::jobs
