// Tasks of a job: their names and the status that a worker reports.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hallpier::model {

enum class TaskPhase { kFetching, kRunning, kCheckpointing, kExited };
// Why a task exited; kNone if it has not.
enum class ExitCause { kNone, kDone, kStopped, kError, kNoRoom, kBusy, kUnknown };

// Returns the cause as written in logs; empty for kNone.
std::string_view ExitCauseName(ExitCause cause);

struct TaskId {
  std::string job;
  uint32_t index = 0;
  // Compares the index first, so that most comparisons need not compare the job's string.
  friend std::strong_ordering operator<=>(const TaskId& a, const TaskId& b) {
    if (a.index != b.index) return a.index <=> b.index;
    return a.job <=> b.job;
  }
  friend bool operator==(const TaskId&, const TaskId&) = default;
};

// Returns the task's name, such as "run-000412/7".
std::string TaskName(const TaskId& task);
// Returns std::nullopt if `name` is not a job id, a slash and an index below kMaxTasksPerJob.
std::optional<TaskId> ParseTaskName(std::string_view name);

// The status of a task as its worker reports it.
struct TaskStatus {
  TaskId task;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kFetching;
  ExitCause cause = ExitCause::kNone;
  bool checkpoint_saved = false;  // a checkpoint was written before the task exited
};

}  // namespace hallpier::model
