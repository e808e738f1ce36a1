// The DAG of job dependencies and what follows from it: which jobs may start, which are cancelled
// because a dependency is, and how urgent a job is because of its dependents.
//
// "Upstream" of a job are the jobs that it awaits, and those that these await; "downstream" are its
// dependents, and theirs. Owned by the job table. Does no I/O and does not recurse, however deep
// the graph is.
//
// All that this class says of a job follows from records alone, and blocking and cancellation only
// ever change one way: a job that is done or cancelled stays so, hence a job that was released, or
// was cancelled because of another, stays released or cancelled. A change visits only the jobs
// whose state it can alter.
#pragma once

#include <cstddef>
#include <limits>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "model/job.h"
#include "store/records.h"

namespace hallpier::jobs {

class DependencyGraph {
 public:
  // The state of an unfinished job, with all that its upstream and downstream jobs mean for it.
  // Times are times of day in seconds.
  struct EffectiveState {
    bool blocked = false;       // some awaited job is not known to be recorded as done
    bool cancelled = false;     // by its own record, or because an upstream job is cancelled
    double runnable_since = 0;  // when it was submitted, or the last awaited job was done
    // The highest of its own priority and those of all downstream jobs.
    model::Priority priority = model::Priority::kBestEffort;
    // By when it has to be done, for its own deadline and those of all downstream jobs.
    double deadline = std::numeric_limits<double>::infinity();
    bool operator==(const EffectiveState&) const = default;
  };

  // Takes in a job's record, read for the first time or changed.
  void Put(const store::JobRecord& record);
  // The record was dropped: the job is final.
  void Drop(const std::string& id);
  // Takes in how a job ended. Kept for as long as unfinished jobs await it; the first call counts.
  void SetFinalRecord(const std::string& id, const store::FinalRecord& final_record);

  // Null if there is no unfinished job of that id.
  const EffectiveState* Find(const std::string& id) const;
  // True if the job's own record says that it is cancelled.
  bool CancelledByOwnRecord(const std::string& id) const;
  // How an awaited job ended; null if that is not known here.
  const store::FinalRecord* FindFinalRecord(const std::string& id) const;
  // Unfinished jobs that await the given one directly, whether that is unfinished itself or not.
  const std::unordered_set<std::string>& Dependents(const std::string& id) const;
  // Awaited jobs of which there is no record here: they are final, and their final records have yet
  // to be read. Until then their dependents are blocked.
  const std::set<std::string>& unresolved() const { return unresolved_; }
  // True if no upstream job that may still matter is unresolved. Otherwise the job may be cancelled
  // because of one, without this node knowing it.
  bool UpstreamResolved(const std::string& id) const;
  // Returns the jobs whose effective state has changed since the last call.
  std::vector<std::string> TakeChanged();

 private:
  // An unfinished job.
  struct Node {
    std::vector<std::string> awaits;   // without duplicates
    size_t open_awaits = 0;            // of these, not known to be done
    bool cancelled_by_record = false;  // by its own record
    // Its own, without regard to dependents.
    model::Priority own_priority = model::Priority::kBestEffort;
    double own_due = 0;
    double estimate_s = 0;
    EffectiveState state;
  };
  // A job that unfinished jobs await.
  struct AwaitedJob {
    std::unordered_set<std::string> dependents;
    bool ended = false;
    store::FinalRecord final_record;  // if it has ended
  };

  void AddNode(const store::JobRecord& record, Node& node);
  // Enters a new job as a dependent of those that it awaits, and derives its state.
  void Connect(const std::string& id, Node& node);
  // Cancels a job and all downstream jobs.
  void CancelDownstream(const std::string& id);
  // Passes a job's effective priority and due time on to all upstream jobs that are less urgent.
  void RaiseUpstream(const std::string& id);
  // Recomputes a job after one of its dependents has become less urgent or has gone, and goes on
  // upstream for as long as something changes.
  void RecomputeUpstream(const std::string& id);
  // Derives priority and due time from the job's own and its dependents'. True if they changed.
  bool RecomputeUrgency(const std::string& id, Node& node) const;
  // One that the job awaits is done.
  void ReleaseDependent(const std::string& id, const store::FinalRecord& final_record);
  // Enters the job into unresolved_ or removes it, according to what is known of it now.
  void UpdateUnresolved(const std::string& id);
  void MarkChanged(const std::string& id) { changed_.insert(id); }

  std::unordered_map<std::string, Node> nodes_;          // all unfinished jobs
  std::unordered_map<std::string, AwaitedJob> awaited_;  // all that unfinished jobs await
  std::set<std::string> unresolved_;
  std::unordered_set<std::string> changed_;
};

}  // namespace hallpier::jobs
