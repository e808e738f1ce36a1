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

// True if the zone of a task depends on those of tasks in other groups, whose keys the placement of
// the task does not name in its preconditions.
bool ZonesDependOnOtherGroups(const Job& job) {
  return (job.spec.one_zone || job.spec.spread) && job.spec.tasks > job.groups.layout().EndTask(0);
}

// Collects the write units of one round.
class UnitBuilder {
 public:
  UnitBuilder(const JobTable& job_table, const TransactionLimits& limits,
              const VersionLookup& version)
      : job_table_(job_table), limits_(limits), version_(version) {}

  // Adds what the round changes of a job. `may_end`: false if it may not become final yet.
  void AddJob(const std::string& id, const JobChanges& changes, bool may_end) {
    if (may_end && AddFinalRecord(id, changes)) return;
    for (const auto& [number, change] : changes.task_groups) {
      units_.push_back(TaskGroupUnit(id, *changes.job, number, change));
    }
  }

  // Adds the removal of a key that nothing needs any more.
  void AddRemoval(const std::string& key) {
    WriteUnit unit;
    unit.preconditions = {Unchanged(key)};
    unit.writes = {{key, "", 0}};
    unit.priority = WritePriority::kCleanup;
    units_.push_back(std::move(unit));
  }

  std::vector<WriteUnit> Take() { return std::move(units_); }

 private:
  // Holds as long as the key is as the local copy has it.
  model::Precondition Unchanged(const std::string& key) const { return {key, version_(key)}; }

  // False if the job does not end, or can't end in one transaction.
  bool AddFinalRecord(const std::string& id, const JobChanges& changes) {
    const std::optional<model::JobPhase> phase = FinalPhase(changes);
    if (!phase) return false;
    std::optional<WriteUnit> unit =
        BuildFinalRecordUnit(job_table_, id, changes, *phase, limits_, version_);
    if (!unit) return false;
    units_.push_back(std::move(*unit));
    return true;
  }

  WriteUnit TaskGroupUnit(const std::string& id, const Job& job, uint32_t number,
                          TaskGroupChange change) const {
    const std::string key = job.groups.KeyOf(id, number);
    WriteUnit unit;
    unit.priority = change.priority;
    std::string value = FittingValue(job, number, change);
    unit.preconditions = {Unchanged(store::JobKey(id)), Unchanged(key)};
    if (!job.groups.PartStored(number)) {
      // The first write of a part carries over what its whole says: that must not have changed.
      for (const std::string& stored : job.groups.StoredKeys(id, number)) {
        if (stored != key) unit.preconditions.push_back(Unchanged(stored));
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

  // The group's value within the limits. Placements that do not fit are taken back, out of `change`
  // as well: they wait until other tasks have ended.
  std::string FittingValue(const Job& job, uint32_t number, TaskGroupChange& change) const {
    std::string value = Encode(job, number, change.after);
    while (limits_.max_value_bytes > 0 && value.size() > limits_.max_value_bytes &&
           !change.placements.empty()) {
      TakeBackPlacements(job, number, change.placements.size() / 2, change);
      value = Encode(job, number, change.after);
    }
    return value;
  }

  // Takes back all placements but the first `keep`.
  static void TakeBackPlacements(const Job& job, uint32_t number, size_t keep,
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
  const std::set<std::string> can_end(cancelled.can_end.begin(), cancelled.can_end.end());
  UnitBuilder builder(job_table, limits, version);
  for (const std::string& id : changes.order) {
    if (can_end.contains(id)) continue;
    builder.AddJob(id, changes.by_job.at(id), !cancelled.must_wait.contains(id));
  }
  for (const std::string& id : cancelled.can_end) {
    builder.AddJob(id, changes.by_job.at(id), true);
  }
  if (!limits.placements_only) {
    for (const std::string& key : job_table.ObsoleteKeys()) builder.AddRemoval(key);
  }
  return PackTransactions(builder.Take(), limits);
}

}  // namespace hallpier::jobs
