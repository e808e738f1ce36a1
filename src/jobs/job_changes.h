// Collects the changes that the transitions of a round make, per job. Does no I/O. The job table
// must not change while a JobChanges that points into it is in use.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jobs/job_table.h"
#include "jobs/write_priority.h"
#include "store/task_group.h"

namespace hallpier::jobs {

// A task that a round places on a machine.
struct NewPlacement {
  uint32_t task_index = 0;
  std::string machine;
};

// The changes of one task group, which are written as one value.
struct TaskGroupChange {
  store::TaskGroup after;                // the group with all changes applied
  std::vector<NewPlacement> placements;  // in the order of the transitions
  // The highest priority of any change in the group.
  WritePriority priority = WritePriority::kTaskEnd;
};

struct JobChanges {
  const Job* job = nullptr;                         // never null; owned by the job table
  std::map<uint32_t, TaskGroupChange> task_groups;  // by group number

  // Return the number of the job's tasks that are done, or placed, once the changes are written.
  uint32_t DoneAfter() const;
  uint32_t PlacedAfter() const;
};

// The changes of a round by job, and the jobs in the order in which they were added.
struct RoundChanges {
  std::map<std::string, JobChanges> by_job;
  std::vector<std::string> order;
};

// Collects the changes of `transitions`. Skips transitions that the records no longer allow. The
// end of a task that has been known for `max_wait_s` seconds gets a higher priority
// (write_priority.h).
RoundChanges CollectChanges(const JobTable& job_table,
                            const std::vector<TaskTransition>& transitions, double max_wait_s);

// Adds, with no changes, the jobs that are finished but not final yet: those cancelled while no
// task was placed, and those with more task groups than one transaction could delete.
void AddFinishedJobs(const JobTable& job_table, RoundChanges& changes);

}  // namespace hallpier::jobs
