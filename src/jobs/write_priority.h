// The order in which the writes of a round are sent to the state service. Pure functions, no state.
#pragma once

#include <string>

#include "jobs/job_table.h"

namespace hallpier::jobs {

// Highest priority first. If the request budget does not suffice for all writes of a round, the
// writes with the lowest priority are not sent, and the next round recomputes them.
enum class WritePriority {
  kUrgentPlacement,  // placements of production and urgent jobs
  kJobEnd,           // a job becomes final, or a task of a cancelled job is no longer placed
  kPlacement,        // other placements, requeued tasks, and task ends that waited `max_wait_s`
  // Deletions of obsolete keys, and final records of cancelled jobs that are blocked (such as those
  // cancelled because of a dependency) or have dependents.
  kCleanup,
  kTaskEnd,  // ends of single tasks, which their workers keep until they are recorded
};

// Returns the priority of a transition of one task of `job`. The end of a task that has been known
// for `max_wait_s` seconds or longer is ranked with placements instead of last.
WritePriority TransitionPriority(const Job& job, const TaskTransition& transition,
                                 double max_wait_s);

// Returns the priority of the final record of the job `id`.
WritePriority FinalRecordPriority(const JobTable& job_table, const std::string& id, const Job& job);

}  // namespace hallpier::jobs
