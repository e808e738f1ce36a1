#include "jobs/final_records.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

#include "store/keys.h"
#include "store/records.h"

namespace hallpier::jobs {
namespace {

// Writes that make a job final besides the deletions of task groups: the final record, and the
// deletion of the job record.
constexpr size_t kWritesBesideGroups = 2;

void AppendIfNew(std::vector<std::string>& keys, std::string key) {
  if (std::find(keys.begin(), keys.end(), key) == keys.end()) keys.push_back(std::move(key));
}

// Returns the keys of task groups to delete together with the job, at most `max_keys`. std::nullopt
// if the changed groups alone have more keys: these must be deleted in this transaction, since only
// its preconditions guarantee that the job has ended. Keys of unchanged groups beyond the limit
// become obsolete and are deleted later (JobTable::ObsoleteKeys).
std::optional<std::vector<std::string>> GroupKeysToDelete(const std::string& id,
                                                          const JobChanges& changes,
                                                          size_t max_keys) {
  const TaskGroups& groups = changes.job->groups;
  std::vector<std::string> keys;
  for (const auto& [number, change] : changes.task_groups) {
    for (std::string& key : groups.StoredKeys(id, number)) AppendIfNew(keys, std::move(key));
  }
  if (keys.size() > max_keys) return std::nullopt;
  for (std::string& key : groups.StoredKeys(id)) {
    if (keys.size() >= max_keys) break;
    AppendIfNew(keys, std::move(key));
  }
  return keys;
}

}  // namespace

std::optional<model::JobPhase> FinalPhase(const JobChanges& changes) {
  const Job& job = *changes.job;
  if (job.cancelled) {
    if (changes.PlacedAfter() == 0) return model::JobPhase::kCancelled;
    return std::nullopt;
  }
  if (changes.DoneAfter() == job.spec.tasks) return model::JobPhase::kDone;
  return std::nullopt;
}

CancellationOrder OrderCancelledJobs(const JobTable& job_table, const RoundChanges& changes) {
  CancellationOrder result;
  std::vector<std::string>& finalizable = result.finalizable;
  std::map<std::string, size_t> dependents_left;  // by job; these must become final before it
  for (const std::string& id : changes.order) {
    const JobChanges& job_changes = changes.by_job.at(id);
    if (!job_changes.job->cancelled || !FinalPhase(job_changes)) continue;
    const size_t dependents = job_table.dependency_graph().Dependents(id).size();
    dependents_left[id] = dependents;
    if (dependents == 0) finalizable.push_back(id);
  }
  // `finalizable` grows during the loop: a job that becomes final releases the jobs that it awaits.
  for (size_t i = 0; i < finalizable.size(); ++i) {
    for (const std::string& awaited : job_table.Find(finalizable[i])->spec.dependencies) {
      auto entry = dependents_left.find(awaited);
      if (entry != dependents_left.end() && --entry->second == 0) finalizable.push_back(awaited);
    }
  }
  for (const auto& [id, count] : dependents_left) {
    if (count > 0) result.deferred.insert(id);
  }
  return result;
}

std::optional<WriteUnit> BuildFinalRecordUnit(const JobTable& job_table, const std::string& id,
                                              const JobChanges& changes, model::JobPhase phase,
                                              const TransactionLimits& limits,
                                              const VersionLookup& version) {
  const size_t max_keys = static_cast<size_t>(limits.max_writes) - kWritesBesideGroups;
  const auto group_keys = GroupKeysToDelete(id, changes, max_keys);
  if (!group_keys) return std::nullopt;
  store::FinalRecord record;
  record.phase = phase;
  record.done = changes.DoneAfter();
  if (limits.packed_groups) record.recorded_at = limits.time_of_day;
  const std::string job_key = store::JobKey(id);
  WriteUnit unit;
  unit.priority = FinalRecordPriority(job_table, id, *changes.job);
  unit.preconditions.push_back({job_key, version(job_key)});
  unit.writes.push_back({store::FinalKey(id), store::WriteFinal(record), 0});
  unit.writes.push_back({job_key, "", 0});
  for (const std::string& key : *group_keys) {
    unit.preconditions.push_back({key, version(key)});
    unit.writes.push_back({key, "", 0});
  }
  return unit;
}

}  // namespace hallpier::jobs
