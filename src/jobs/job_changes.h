// What the transitions of a round change, collected per job. Does no I/O; the job table must not
// change while a JobChanges that points into it is used.
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

// The changes of one task group, which become one write of its key.
struct TaskGroupChange {
  store::TaskGroup after;                // the group once all changes are made
  std::vector<NewPlacement> placements;  // in the order in which the round decided them
  // The highest of any change in the group.
  WritePriority priority = WritePriority::kTaskEnd;
};

struct JobChanges {
  const Job* job = nullptr;                         // never null; owned by the job table
  std::map<uint32_t, TaskGroupChange> task_groups;  // by group number

  // Tasks of the whole job that are done, or placed, once the changes are written.
  uint32_t DoneAfter() const;
  uint32_t PlacedAfter() const;
};

// The changes of a round by job, and the order in which the jobs were first mentioned.
struct RoundChanges {
  std::map<std::string, JobChanges> by_job;
  std::vector<std::string> order;
};

// Collects `transitions`. Those that the records no longer allow are left out. The end of a task
// that has been known for `max_wait_s` seconds gets a higher priority (write_priority.h).
RoundChanges CollectChanges(const JobTable& job_table,
                            const std::vector<TaskTransition>& transitions, double max_wait_s);

// Adds, without any change, the jobs that are over but not yet final: cancelled before anything was
// placed, or with more task groups than one transaction could drop.
void AddFinishedJobs(const JobTable& job_table, RoundChanges& changes);

}  // namespace hallpier::jobs
