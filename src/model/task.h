// The tasks of a job: their names, and what a worker reports of one.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hallpier::model {

enum class TaskPhase { kFetching, kRunning, kCheckpointing, kExited };
// Why a task has exited.
enum class ExitCause { kNone, kDone, kStopped, kError, kNoRoom, kBusy, kUnknown };

// The cause as it stands in logs; empty for kNone.
std::string_view ExitCauseName(ExitCause cause);

struct TaskId {
  std::string job;
  uint32_t index = 0;
  // Numbers first: most comparisons then end without a look at the text.
  friend std::strong_ordering operator<=>(const TaskId& a, const TaskId& b) {
    if (a.index != b.index) return a.index <=> b.index;
    return a.job <=> b.job;
  }
  friend bool operator==(const TaskId&, const TaskId&) = default;
};

// "run-000412/7"
std::string TaskName(const TaskId& task);
std::optional<TaskId> ParseTaskName(std::string_view name);

// A task as its worker reports it.
struct TaskStatus {
  TaskId task;
  uint64_t attempt = 0;
  TaskPhase state = TaskPhase::kFetching;
  ExitCause cause = ExitCause::kNone;
  bool checkpoint_saved = false;  // a checkpoint was written before it exited
};

}  // namespace hallpier::model
