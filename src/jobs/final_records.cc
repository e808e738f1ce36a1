#include "jobs/final_records.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

#include "store/keys.h"
#include "store/records.h"

namespace hallpier::jobs {
namespace {

// Writes of a final record's transaction besides the dropped task groups: the final record itself
// and the drop of the job's record.
constexpr size_t kWritesOfTheJob = 2;

void AppendIfNew(std::vector<std::string>& keys, std::string key) {
  if (std::find(keys.begin(), keys.end(), key) == keys.end()) keys.push_back(std::move(key));
}

// The keys of task groups that are dropped with the job, at most `max_keys`. Nothing if the changed
// groups alone are more: their keys must go in this transaction, since only its preconditions say
// that the job has ended. The keys of unchanged groups that have no room become obsolete and are
// dropped later (JobTable::ObsoleteKeys).
std::optional<std::vector<std::string>> GroupKeysToDrop(const std::string& id,
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
  std::vector<std::string>& can_end = result.can_end;
  std::map<std::string, size_t> open_dependents;  // that must become final before the job
  for (const std::string& id : changes.order) {
    const JobChanges& job_changes = changes.by_job.at(id);
    if (!job_changes.job->cancelled || !FinalPhase(job_changes)) continue;
    const size_t dependents = job_table.dependency_graph().Dependents(id).size();
    open_dependents[id] = dependents;
    if (dependents == 0) can_end.push_back(id);
  }
  // `can_end` grows while it is read: a job that becomes final releases those that it awaits.
  for (size_t i = 0; i < can_end.size(); ++i) {
    for (const std::string& awaited : job_table.Find(can_end[i])->spec.awaits) {
      auto entry = open_dependents.find(awaited);
      if (entry != open_dependents.end() && --entry->second == 0) can_end.push_back(awaited);
    }
  }
  for (const auto& [id, count] : open_dependents) {
    if (count > 0) result.must_wait.insert(id);
  }
  return result;
}

std::optional<WriteUnit> BuildFinalRecordUnit(const JobTable& job_table, const std::string& id,
                                              const JobChanges& changes, model::JobPhase phase,
                                              const TransactionLimits& limits,
                                              const VersionLookup& version) {
  const size_t max_keys = static_cast<size_t>(limits.max_writes) - kWritesOfTheJob;
  const auto group_keys = GroupKeysToDrop(id, changes, max_keys);
  if (!group_keys) return std::nullopt;
  store::FinalRecord record;
  record.phase = phase;
  record.done = changes.DoneAfter();
  if (limits.packed_groups) record.at = limits.time_of_day;
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
