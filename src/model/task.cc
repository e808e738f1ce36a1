#include "model/task.h"

#include <charconv>

#include "model/job.h"

namespace hallpier::model {

std::string_view ExitCauseName(ExitCause cause) {
  switch (cause) {
    case ExitCause::kDone:
      return "done";
    case ExitCause::kStopped:
      return "stopped";
    case ExitCause::kError:
      return "error";
    case ExitCause::kNoRoom:
      return "no_room";
    case ExitCause::kBusy:
      return "busy";
    case ExitCause::kUnknown:
      return "unknown";
    case ExitCause::kNone:
      break;
  }
  return {};
}

std::string TaskName(const TaskId& task) { return task.job + "/" + std::to_string(task.index); }

std::optional<TaskId> ParseTaskName(std::string_view name) {
  const size_t slash = name.find('/');
  if (slash == std::string_view::npos || !IsJobId(name.substr(0, slash))) return std::nullopt;
  const std::string_view digits = name.substr(slash + 1);
  TaskId task;
  task.job = name.substr(0, slash);
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, task.index);
  if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  if (task.index >= kMaxTasksPerJob) return std::nullopt;
  return task;
}

}  // namespace hallpier::model
