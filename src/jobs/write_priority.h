// The order in which a round's writes are sent to the state service. Pure functions, no state.
#pragma once

#include <string>

#include "jobs/job_table.h"

namespace hallpier::jobs {

// Highest first. When the request budget does not suffice for a whole round, writes at the end of
// the order are not sent, and the next round decides on them anew.
enum class WritePriority {
  kUrgentPlacement,  // placements of production and urgent jobs
  kJobEnd,           // a job becomes final, or a cancelled job loses a task that was still placed
  kPlacement,        // other placements, requeued tasks, and task ends that have waited long
  kCleanup,          // jobs cancelled because of a dependency, and keys that nothing needs any more
  kTaskEnd,          // ends of single tasks: until they are recorded, their machines keep them
};

// The priority of a transition of one task of `job`. The end of a task that has been known for
// `max_wait_s` seconds or longer competes with placements instead of coming last.
WritePriority TransitionPriority(const Job& job, const TaskTransition& transition,
                                 double max_wait_s);

// The priority of the final record of the job `id`.
WritePriority FinalRecordPriority(const JobTable& job_table, const std::string& id, const Job& job);

}  // namespace hallpier::jobs
