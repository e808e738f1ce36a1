// The DAG of job dependencies. Derives from it which jobs may start, which jobs are cancelled
// because a dependency is cancelled, and which priority and deadline a job inherits from its
// dependents.
//
// The upstream jobs of a job are its direct and transitive dependencies; its downstream jobs are
// its direct and transitive dependents. Owned by the job table. Does no I/O. Traversals are
// iterative, so that the depth of the graph is not limited by the stack.
//
// The state of a job is derived from stored records alone. Blocking and cancellation are monotonic:
// a job that is done or cancelled stays so, hence a job that was unblocked, or was cancelled
// because of another job, stays unblocked or cancelled. Both take effect with each change of a
// record, which visits only the jobs whose state it can alter.
//
// Urgency (priority and deadline) is neither monotonic nor passed on with each change. Changes are
// collected, and PropagateUrgency() passes them on in topological order: dependents before their
// dependencies, each job once. Its cost is linear in the upstream jobs and their dependencies,
// however many changes were collected and however many paths lead from one job to another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "model/job.h"
#include "store/records.h"

namespace hallpier::jobs {

class DependencyGraph {
 public:
  // The state of an unfinished job, including the effects of its upstream and downstream jobs.
  // Times are in seconds since the Unix epoch.
  struct EffectiveState {
    bool blocked = false;    // not all awaited jobs are known to be recorded as done
    bool cancelled = false;  // in its own record, or because an upstream job is cancelled
    // The later of the job's submission and the time when its last awaited job was done.
    double runnable_since = 0;
    // The highest of the job's own priority and those of all downstream jobs.
    model::Priority priority = model::Priority::kBestEffort;
    // The time by which the job must be done to meet its own deadline and those of all downstream
    // jobs.
    double deadline = std::numeric_limits<double>::infinity();
    bool operator==(const EffectiveState&) const = default;
  };

  // Adds the job of a new record, or updates the job of a changed record.
  void AddOrUpdate(const store::JobRecord& record);
  // Removes a job whose record was deleted because the job became final.
  void Remove(const std::string& id);
  // Sets the final record of a job. It is kept while unfinished jobs await the job; only the first
  // call for a job has an effect.
  void SetFinalRecord(const std::string& id, const store::FinalRecord& final_record);
  // Updates the priorities and deadlines of all jobs after any number of the changes above. Until
  // then, jobs upstream of the changed ones have those of the last call.
  void PropagateUrgency();

  // Returns nullptr if there is no unfinished job with this id.
  const EffectiveState* Find(const std::string& id) const;
  // Returns true if the job's own record marks it as cancelled.
  bool CancelledByOwnRecord(const std::string& id) const;
  // Returns the final record of an awaited job; nullptr if it is not known on this node.
  const store::FinalRecord* FindFinalRecord(const std::string& id) const;
  // Returns the unfinished direct dependents of a job, which itself may be unfinished or final.
  const std::unordered_set<std::string>& Dependents(const std::string& id) const;
  // Returns the awaited jobs without a known job record. They are final, but their final records
  // have not been read yet; until then their dependents are blocked.
  const std::set<std::string>& unresolved() const { return unresolved_; }
  // Returns true if no upstream job that can still affect this job is unresolved. Otherwise the job
  // may have been cancelled because of an unresolved job, and this node does not know it yet.
  bool UpstreamResolved(const std::string& id) const;
  // Returns the jobs whose effective state has changed since the last call.
  std::vector<std::string> TakeChanged();
  // Returns how many dependencies between two jobs have been examined so far to derive urgency and
  // cancellation, and to find unresolved upstream jobs. A measure of the cost.
  uint64_t examined_dependencies() const { return examined_dependencies_; }

 private:
  struct Urgency {
    model::Priority priority = model::Priority::kBestEffort;
    double deadline = std::numeric_limits<double>::infinity();  // seconds since the Unix epoch
    bool operator==(const Urgency&) const = default;
  };
  // An unfinished job.
  struct Node {
    std::vector<std::string> dependencies;  // no duplicates
    size_t pending_dependencies = 0;        // those not known to be done
    bool cancelled_by_record = false;       // in its own record
    double estimated_run_s = 0;
    Urgency own;  // from the job's own record
    // The urgency that this job requires of the jobs that it awaits, as last passed on to them.
    // The urgency in `state` derives from `own` and the `required` of all dependents.
    Urgency required;
    // A dependent requires less than before, so the urgency must be derived from all dependents.
    bool urgency_stale = false;
    EffectiveState state;
  };
  using NodeEntry = std::pair<const std::string, Node>;  // id and node
  // A job, unfinished or final, that unfinished jobs await.
  struct AwaitedJob {
    std::unordered_set<std::string> dependents;
    bool ended = false;
    store::FinalRecord final_record;  // valid if `ended`
  };

  void InitNode(const store::JobRecord& record, Node& node);
  // Adds a new job to the dependents of the jobs that it awaits, and derives its state.
  void Connect(const std::string& id, Node& node);
  // Cancels a job and all downstream jobs.
  void CancelDownstream(const std::string& id);
  // Returns the urgency that a job in its present state requires of the jobs that it awaits.
  static Urgency RequiredUrgency(const Node& node);
  // Derives the urgency of a job from its own and what its dependents require.
  void DeriveUrgency(const std::string& id, Node& node);
  // Passes the urgency of a new job on: later by PropagateUrgency() if that changes a job that it
  // awaits, at once otherwise.
  void PassOnNewUrgency(const std::string& id, Node& node);
  // Takes back what a job requires of the jobs that it awaits, since it is cancelled or removed.
  void WithdrawUrgency(Node& node);
  // Updates a job of which a dependent now requires `after` instead of `before`. Returns true if
  // PropagateUrgency() must visit it.
  bool OnRequiredUrgencyChanged(NodeEntry& entry, const Urgency& before, const Urgency& after);
  // Returns the jobs with collected changes of urgency and all jobs upstream of them, except
  // cancelled ones, in topological order: each job before the jobs that it awaits.
  std::vector<NodeEntry*> TakeJobsToUpdate();
  // Updates a job after one of the jobs that it awaits is done.
  void ReleaseDependent(const std::string& id, const store::FinalRecord& final_record);
  // Adds the job to unresolved_ if unfinished jobs await it and neither its job record nor its
  // final record is known; removes it otherwise.
  void UpdateUnresolved(const std::string& id);
  // Returns the blocked jobs that have an unresolved upstream job.
  std::unordered_set<std::string> FindDownstreamOfUnresolved() const;
  void MarkChanged(const std::string& id) { changed_.insert(id); }

  std::unordered_map<std::string, Node> nodes_;          // all unfinished jobs
  std::unordered_map<std::string, AwaitedJob> awaited_;  // all jobs that unfinished jobs await
  std::set<std::string> unresolved_;
  // The result of FindDownstreamOfUnresolved(), kept until the graph changes.
  mutable std::optional<std::unordered_set<std::string>> downstream_of_unresolved_;
  std::unordered_set<std::string> changed_;
  // Jobs whose changes of urgency have not been passed on. Some may have been removed since.
  std::unordered_set<std::string> urgency_changes_;
  mutable uint64_t examined_dependencies_ = 0;
};

}  // namespace hallpier::jobs
