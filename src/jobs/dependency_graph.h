// Which jobs await which, and what follows from it: who may start, who is cancelled with another,
// how urgent a job is for the sake of those that need it. Does no I/O.
//
// All that is said here follows from records alone and never turns back: a job that is done or
// cancelled stays so, hence a job that was released, or cancelled by way of another, stays that.
// A change touches only the jobs that it concerns.
#pragma once

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "model/job.h"
#include "store/schema.h"

namespace hallpier::jobs {

class DependencyGraph {
 public:
  // What others mean for an unfinished job.
  struct View {
    bool blocked = false;    // some job that it awaits is not recorded as done, as far as we know
    bool cancelled = false;  // itself, or a job that it needs
    double since = 0;        // time of day: submitted, or the last awaited one done
    model::Priority priority =
        model::Priority::kBestEffort;  // of the most urgent job that needs it
    // Time of day by which it has to be done for the deadlines of all that need it.
    double due = std::numeric_limits<double>::infinity();
    bool operator==(const View&) const = default;
  };

  // A job's record is there, for the first time or changed.
  void Put(const store::JobRecord& record);
  // The record is gone: the job is final.
  void Drop(const std::string& id);
  // How a job ended. Kept for as long as unfinished jobs name it.
  void RecordFinal(const std::string& id, const store::FinalRecord& r);

  const View* Find(const std::string& id) const;
  // True if the job's own record says that it is cancelled.
  bool CancelledItself(const std::string& id) const;
  // How an awaited job ended, if that is known here.
  const store::FinalRecord* Final(const std::string& id) const;
  // Unfinished jobs that name it, whether it is unfinished itself or not.
  const std::unordered_set<std::string>& Dependents(const std::string& id) const;
  // Jobs that unfinished ones await, of which nothing is known here: they are final, and how is to
  // be read. Until then those that await them wait.
  const std::set<std::string>& unknown() const { return unknown_; }
  // True unless something of what the job needs, directly or through others, is unknown: only then
  // may it be cancelled without our knowing.
  bool Settled(const std::string& id) const;
  // Jobs whose view has changed since this was last asked.
  std::vector<std::string> TakeTouched();

 private:
  struct Node {
    std::vector<std::string> awaits;                          // each once
    size_t open = 0;                                          // of these, not known to be done
    bool withdrawn = false;                                   // by its own record
    model::Priority priority = model::Priority::kBestEffort;  // its own
    double due = 0;                                           // its own
    double estimate_s = 0;
    View view;
  };
  struct Awaited {
    std::unordered_set<std::string> by;
    bool known = false;
    store::FinalRecord final_record;
  };

  void Connect(const std::string& id, Node& node);
  // Cancels a job and all that need it.
  void Cancel(const std::string& id);
  // A job presses more than before: so do those that it awaits, and those that these await.
  void Press(const std::string& id);
  // One that named the job presses less, or no more.
  void Relieve(const std::string& id);
  bool Weigh(const std::string& id, Node& node) const;
  // Whether an awaited job is unfinished, done, cancelled or unknown changes `unknown_`.
  void CheckUnknown(const std::string& id);
  void Touch(const std::string& id) { touched_.insert(id); }

  std::unordered_map<std::string, Node> nodes_;       // all unfinished jobs
  std::unordered_map<std::string, Awaited> awaited_;  // all that unfinished jobs name
  std::set<std::string> unknown_;
  std::unordered_set<std::string> touched_;
};

}  // namespace hallpier::jobs
