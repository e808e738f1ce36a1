// All unfinished jobs and placements as the state service has them. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jobs/dependency_graph.h"
#include "model/job.h"
#include "model/task.h"
#include "store/schema.h"

namespace hallpier::jobs {

// A job's groups of tasks, and the keys that they are kept under.
class TaskGroups {
 public:
  explicit TaskGroups(store::Layout layout) : layout_(layout) {}

  const store::Layout& layout() const { return layout_; }
  const std::map<uint32_t, store::TaskGroup>& all() const { return groups_; }
  // Nothing: the group is dropped.
  void Set(uint32_t number, std::optional<store::TaskGroup> group);
  // The same groups in another layout.
  void Divide(store::Layout layout);

  // What is stored, wholes and parts. A part counts instead of what its whole says of its tasks.
  void SetStored(const store::ParsedKey& key, bool there);
  bool PartStored(uint32_t number) const { return parts_.contains(number); }
  // The key under which a group is written.
  std::string KeyOf(const std::string& id, uint32_t number) const;
  // The keys that hold something of a group, wholes first.
  std::vector<std::string> StoredKeys(const std::string& id, uint32_t number) const;
  std::vector<std::string> StoredKeys(const std::string& id) const;
  // Wholes of which every task is in a stored part, or was never placed.
  std::vector<std::string> Superseded(const std::string& id) const;

  uint32_t done() const { return done_; }
  uint32_t placed() const { return placed_; }
  const std::map<std::string, store::RunStats>& runs() const { return runs_; }
  const store::RunStats& all_runs() const { return all_runs_; }

 private:
  void Count(const store::TaskGroup& task_group, bool add);

  store::Layout layout_;
  std::map<uint32_t, store::TaskGroup> groups_;
  std::set<uint32_t> wholes_;
  std::set<uint32_t> parts_;  // by number; only where wholes have several
  // Sums over the groups, kept as they change: every round asks for them many times over.
  uint32_t done_ = 0;
  uint32_t placed_ = 0;
  std::map<std::string, store::RunStats> runs_;
  store::RunStats all_runs_;
};

struct Job {
  explicit Job(TaskGroups g) : groups(std::move(g)) {}

  model::JobSpec spec;
  double submitted = 0;
  bool common_layout = true;  // its record names no group size
  // By its own record, or because it needs a job that is: it never starts anything again.
  bool cancelled = false;
  // Of what else other jobs mean for it; see DependencyGraph::View.
  bool blocked = false;
  double since = 0;
  model::Priority priority = model::Priority::kNormal;
  double due = 0;

  TaskGroups groups;
  const std::map<uint32_t, store::TaskGroup>& task_groups() const { return groups.all(); }
  uint32_t done() const { return groups.done(); }
  uint32_t placed() const { return groups.placed(); }
  // Tasks that are neither done nor placed.
  uint32_t waiting() const { return spec.tasks - done() - placed(); }
  // Of a task that was ever placed and is not done.
  const store::TaskState* FindOpen(uint32_t index) const;
  model::JobStatus Status() const;
  // Mean run time on a machine type; nothing before the first finish there.
  std::optional<double> MeanRun(const std::string& machine_type) const;
  std::optional<double> MeanRun() const;  // over all types
};

// What a round wants written about one task.
struct TaskTransition {
  enum class Kind { kPlace, kRequeue, kDone };
  Kind kind = Kind::kPlace;
  model::TaskId task;
  uint64_t attempt = 0;
  std::string machine;
  double run_s = 0;          // kDone: 0 if unknown
  std::string machine_type;  // kDone
  double age_s = 0;          // kDone: how long it has been known
  std::string why;           // kRequeue: for the log
};

class JobTable {
 public:
  explicit JobTable(uint32_t tasks_per_shard) : common_{tasks_per_shard, 1} {}

  // Takes in a change of the state service. An empty value: the key was dropped.
  void Apply(const store::ParsedKey& key, const std::string& value);
  // How an awaited job ended: read for it, or written by this node.
  void RecordFinal(const std::string& id, const store::FinalRecord& r);
  const DependencyGraph& dependency_graph() const { return dependency_graph_; }
  // The layout of jobs whose records name none.
  const store::Layout& common_layout() const { return common_; }

  const std::unordered_map<std::string, Job>& all() const { return jobs_; }
  const Job* Find(const std::string& id) const;
  using Placements = std::map<model::TaskId, uint64_t>;  // task -> attempt
  const std::unordered_map<std::string, Placements>& by_machine() const { return by_machine_; }
  const Placements& On(const std::string& machine) const;

  // Task numbers that wait, lowest first, at most `limit`.
  std::vector<uint32_t> Waiting(const Job& job, size_t limit) const;
  uint64_t NextAttempt(const Job& job, uint32_t index) const;

  // Writes a mutation into a copy of its shard. False if the records have moved on meanwhile.
  bool Change(const Job& job, const TaskTransition& m, store::TaskGroup* task_group) const;
  // What a job's own record says; nothing if the job is unknown here.
  std::optional<store::JobRecord> Record(const std::string& id) const;
  // What a job's record says once the job is cancelled; nothing if it is unknown here, or is
  // cancelled by its own record already.
  std::optional<store::JobRecord> CancelledRecord(const std::string& id) const;
  // Unfinished jobs that their own records call cancelled.
  std::vector<std::string> CancelledJobs() const;
  // Keys that nothing needs any more: of jobs that are final already, where one transaction could
  // not drop all, and wholes that were carried over to parts.
  std::vector<std::string> Leftovers() const;

 private:
  // Brings by_machine_ from what a group held before to what it holds now; null: nothing.
  void Index(const std::string& job, const store::TaskGroup* before, const store::TaskGroup* after);
  void Unplace(const std::string& job, uint32_t index, const std::string& machine);
  void ApplyJob(const std::string& id, const std::string& value);
  void ApplyTaskGroup(const store::ParsedKey& key, const std::string& value);
  void SetGroup(const std::string& id, TaskGroups& groups, uint32_t number,
                std::optional<store::TaskGroup> group);
  void SetCommonLayout(const store::Layout& layout);
  // Brings jobs up to what the pipelines now say of them.
  void UpdateViews();

  store::Layout common_;
  std::unordered_map<std::string, Job> jobs_;
  std::map<std::string, TaskGroups> orphans_;
  std::unordered_map<std::string, Placements> by_machine_;
  DependencyGraph dependency_graph_;
};

}  // namespace hallpier::jobs
