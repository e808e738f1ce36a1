// Machines and failures as the leader describes them to the other controllers that place tasks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/task.h"

namespace hallpier::model {

// A task as its machine last reported it to the leader.
struct TaskView {
  TaskId task;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kFetching;
  ExitCause cause = ExitCause::kNone;
  bool start_observed = false;  // the leader saw it start to run
  uint64_t phase_age_ms = 0;    // how long it has been in this phase; not kept up to date
  bool operator==(const TaskView&) const = default;
};

// A machine as the leader sees it. Of one in another block only its zone is told.
struct MachineView {
  std::string machine;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  bool accepts_tasks = false;       // it may get new tasks
  std::vector<std::string> images;  // there, of those that unfinished jobs need
  std::vector<TaskView> tasks;
  bool operator==(const MachineView&) const = default;
};

// What the leader knows of the failures of a job's tasks.
struct JobFailures {
  std::string job;
  bool suspected = false;      // it fails because of itself
  bool retry_allowed = false;  // its holder may start one more task of it
  std::vector<std::string> failed_on;
  bool operator==(const JobFailures&) const = default;
};

}  // namespace hallpier::model
