#include "jobs/transaction_builder.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "jobs/final_records.h"
#include "jobs/job_changes.h"
#include "jobs/transaction_packer.h"
#include "store/keys.h"
#include "store/packed_task_group.h"
#include "store/records.h"

namespace hallpier::jobs {
namespace {

// Returns true if the zone of a task depends on the zones of tasks in other groups. The
// preconditions of the task's placement do not include the keys of these groups.
bool ZonesDependOnOtherGroups(const Job& job) {
  return (job.spec.one_zone || job.spec.spread) && job.spec.tasks > job.groups.layout().EndTask(0);
}

// Collects the write units of one round.
class WriteUnitBuilder {
 public:
  WriteUnitBuilder(const JobTable& job_table, const TransactionLimits& limits,
                   const VersionLookup& version)
      : job_table_(job_table), limits_(limits), version_(version) {}

  // Adds the changes of a job. `may_finalize`: false if the job may not become final yet.
  void AddJob(const std::string& id, const JobChanges& changes, bool may_finalize) {
    if (may_finalize && AddFinalRecord(id, changes)) return;
    for (const auto& [number, change] : changes.task_groups) {
      units_.push_back(BuildTaskGroupUnit(id, *changes.job, number, change));
    }
  }

  // Adds the deletion of a key that is no longer needed.
  void AddKeyRemoval(const std::string& key) {
    WriteUnit unit;
    unit.preconditions = {UnchangedKey(key)};
    unit.writes = {{key, "", 0}};
    unit.priority = WritePriority::kCleanup;
    units_.push_back(std::move(unit));
  }

  std::vector<WriteUnit> Take() { return std::move(units_); }

 private:
  // Returns the precondition that the key has the same version as in the watch cache.
  model::Precondition UnchangedKey(const std::string& key) const { return {key, version_(key)}; }

  // Returns false if the job does not become final, or its deletions do not fit in one transaction.
  bool AddFinalRecord(const std::string& id, const JobChanges& changes) {
    const std::optional<model::JobPhase> phase = FinalPhase(changes);
    if (!phase) return false;
    std::optional<WriteUnit> unit =
        BuildFinalRecordUnit(job_table_, id, changes, *phase, limits_, version_);
    if (!unit) return false;
    units_.push_back(std::move(*unit));
    return true;
  }

  WriteUnit BuildTaskGroupUnit(const std::string& id, const Job& job, uint32_t number,
                               TaskGroupChange change) const {
    const std::string key = job.groups.KeyOf(id, number);
    WriteUnit unit;
    unit.priority = change.priority;
    std::string value = EncodeWithinLimit(job, number, change);
    unit.preconditions = {UnchangedKey(store::JobKey(id)), UnchangedKey(key)};
    if (!job.groups.PartStored(number)) {
      // The first write of a part copies its state from the base group, which must not have
      // changed.
      for (const std::string& stored : job.groups.StoredKeys(id, number)) {
        if (stored != key) unit.preconditions.push_back(UnchangedKey(stored));
      }
    }
    unit.writes = {{key, std::move(value), 0}};
    if (limits_.concurrent_placement && !change.placements.empty() &&
        ZonesDependOnOtherGroups(job)) {
      unit.writes.push_back({store::JobKey(id), store::WriteJob(*job_table_.Record(id)), 0});
    }
    for (NewPlacement& placement : change.placements) {
      unit.machines.push_back(std::move(placement.machine));
    }
    return unit;
  }

  // Returns the group's value within the size limit. Placements that do not fit are removed, also
  // from `change`; these tasks wait until other tasks have ended.
  std::string EncodeWithinLimit(const Job& job, uint32_t number, TaskGroupChange& change) const {
    std::string value = Encode(job, number, change.after);
    while (limits_.max_value_bytes > 0 && value.size() > limits_.max_value_bytes &&
           !change.placements.empty()) {
      RevertPlacements(job, number, change.placements.size() / 2, change);
      value = Encode(job, number, change.after);
    }
    return value;
  }

  // Reverts all placements except the first `keep`.
  static void RevertPlacements(const Job& job, uint32_t number, size_t keep,
                               TaskGroupChange& change) {
    const auto before = job.task_groups().find(number);
    for (size_t i = keep; i < change.placements.size(); ++i) {
      const uint32_t index = change.placements[i].task_index;
      change.after.open.erase(index);
      if (before == job.task_groups().end()) continue;
      const auto task_before = before->second.open.find(index);
      if (task_before != before->second.open.end()) change.after.open.insert(*task_before);
    }
    change.placements.resize(keep);
  }

  std::string Encode(const Job& job, uint32_t number, const store::TaskGroup& task_group) const {
    if (!limits_.packed_groups) return store::WriteTaskGroup(task_group);
    const store::TaskGroupLayout& layout = job.groups.layout();
    const uint32_t first = layout.FirstTask(number);
    const uint32_t end = std::min(layout.EndTask(number), job.spec.tasks);
    return store::WritePackedTaskGroup(task_group, first, end - first);
  }

  const JobTable& job_table_;
  const TransactionLimits& limits_;
  const VersionLookup& version_;
  std::vector<WriteUnit> units_;
};

}  // namespace

std::vector<Transaction> BuildTransactions(const JobTable& job_table,
                                           const std::vector<TaskTransition>& transitions,
                                           const TransactionLimits& limits,
                                           const VersionLookup& version) {
  RoundChanges changes = CollectChanges(job_table, transitions, limits.task_end_max_wait_s);
  if (!limits.placements_only) AddFinishedJobs(job_table, changes);
  const CancellationOrder cancelled = OrderCancelledJobs(job_table, changes);
  const std::set<std::string> finalizable(cancelled.finalizable.begin(),
                                          cancelled.finalizable.end());
  WriteUnitBuilder builder(job_table, limits, version);
  for (const std::string& id : changes.order) {
    if (finalizable.contains(id)) continue;
    builder.AddJob(id, changes.by_job.at(id), !cancelled.deferred.contains(id));
  }
  for (const std::string& id : cancelled.finalizable) {
    builder.AddJob(id, changes.by_job.at(id), true);
  }
  if (!limits.placements_only) {
    for (const std::string& key : job_table.ObsoleteKeys()) builder.AddKeyRemoval(key);
  }
  return PackTransactions(builder.Take(), limits);
}

}  // namespace hallpier::jobs
