// The state of machines and task failures, as the leader sends it to other controllers that place
// tasks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/task.h"

namespace hallpier::model {

// The last status of a task that its machine reported to the leader.
struct TaskView {
  TaskId task;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kFetching;
  ExitCause cause = ExitCause::kNone;
  bool start_observed = false;  // the leader observed the transition to running
  uint64_t phase_age_ms = 0;    // time in this phase; not sent again if only this changes
  bool operator==(const TaskView&) const = default;
};

// A machine as the leader sees it. For a machine of another block, only its name and zone are
// set.
struct MachineView {
  std::string machine;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  bool accepts_tasks = false;       // new tasks may be placed on it
  std::vector<std::string> images;  // cached images that unfinished jobs need
  std::vector<TaskView> tasks;
  bool operator==(const MachineView&) const = default;
};

// Failures of a job's tasks, as the leader knows them.
struct JobFailures {
  std::string job;
  bool suspected = false;      // the job itself is suspected to cause its failures
  bool retry_allowed = false;  // the receiving block owner may start one more task of the job
  std::vector<std::string> failed_on;  // machines
  bool operator==(const JobFailures&) const = default;
};

}  // namespace hallpier::model
