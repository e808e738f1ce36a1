#include "store/packed_task_group.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "model/job.h"
#include "store/machine_name_codec.h"
#include "wire/base64_digits.h"

namespace hallpier::store {
namespace {

// The highest attempt number that fits one digit. The digit also represents all higher attempts;
// tasks with this attempt or a higher one are listed with the full number under "many".
constexpr uint64_t kMaxOneDigitAttempt = 63;

struct TaskAttempt {
  uint32_t index = 0;
  uint64_t attempt = 0;
};

// For each task starting at `first`: whether it is done, and whether it is open.
struct TaskFlags {
  uint32_t first = 0;
  std::vector<bool> done;
  std::vector<bool> open;  // same size as `done`
};

DecodeResult<std::vector<bool>> ReadFlags(const wire::JsonValue& record, const char* field,
                                          uint64_t count) {
  const std::optional<std::string> text = wire::GetText(record, field);
  if (!text) return DecodeError{field, "missing, or not a string"};
  auto flags = wire::UnpackFlags(*text, count);
  if (!flags) {
    return DecodeError{field, "expected one flag for each of " + std::to_string(count) + " tasks"};
  }
  return std::move(*flags);
}

DecodeResult<TaskFlags> ReadTaskFlags(const wire::JsonValue& record) {
  const std::optional<uint64_t> first = wire::GetCount(record, "first");
  const std::optional<uint64_t> count = wire::GetCount(record, "of");
  if (!first || *first > model::kMaxTasksPerJob) {
    return DecodeError{"first", "missing, or not a task index"};
  }
  if (!count || *count > model::kMaxTasksPerJob || *first + *count > model::kMaxTasksPerJob) {
    return DecodeError{"of",
                       "missing, or the range exceeds the number of tasks that a job may have"};
  }
  auto done = ReadFlags(record, "done", *count);
  if (!done) return done.error();
  auto open = ReadFlags(record, "open", *count);
  if (!open) return open.error();
  return TaskFlags{static_cast<uint32_t>(*first), std::move(*done), std::move(*open)};
}

// Decodes the machine and the attempt of the open tasks one after another.
class OpenTaskReader {
 public:
  OpenTaskReader(const MachineNameCodec& machines, std::string_view machine_codes,
                 std::string_view attempts)
      : machines_(machines),
        machine_codes_(machine_codes),
        attempts_(attempts),
        all_first_attempts_(attempts.empty()) {}

  DecodeResult<TaskState> Next() {
    const auto code = wire::TakeDigits(machine_codes_, machines_.digits_per_code());
    auto machine = code ? machines_.NameOf(*code) : std::nullopt;
    if (!machine) return DecodeError{"on", "missing or unknown machine code"};
    std::optional<uint64_t> attempt = 1;
    if (!all_first_attempts_) attempt = wire::TakeDigits(attempts_, 1);
    if (!attempt) return DecodeError{"tries", "missing or invalid attempt of an open task"};
    return TaskState{*attempt, std::move(*machine)};
  }

  // Returns an error if any input is left after all open tasks were read.
  std::optional<DecodeError> CheckFullyRead() const {
    if (!machine_codes_.empty()) return DecodeError{"on", "more machines than open tasks"};
    if (!attempts_.empty()) return DecodeError{"tries", "more attempts than open tasks"};
    return std::nullopt;
  }

 private:
  const MachineNameCodec& machines_;
  std::string_view machine_codes_;
  std::string_view attempts_;
  const bool all_first_attempts_;
};

std::optional<DecodeError> ReadTasks(const wire::JsonValue& record, TaskGroup& task_group) {
  const auto flags = ReadTaskFlags(record);
  if (!flags) return flags.error();
  const auto machines = MachineNameCodec::Read(record);
  if (!machines) return machines.error();
  const std::optional<std::string> machine_codes = wire::GetText(record, "on");
  if (!machine_codes) return DecodeError{"on", "missing, or not a string"};
  const std::string attempts = wire::GetText(record, "tries").value_or("");
  OpenTaskReader open_tasks(*machines, *machine_codes, attempts);
  for (size_t i = 0; i < flags->done.size(); ++i) {
    const uint32_t index = flags->first + static_cast<uint32_t>(i);
    if (flags->done[i]) task_group.done.Insert(index);
    if (!flags->open[i]) continue;
    // A task that is both done and on a machine could never be finished.
    if (flags->done[i]) {
      return DecodeError{"open", "task " + std::to_string(index) + " is both done and open"};
    }
    auto task = open_tasks.Next();
    if (!task) return task.error();
    task_group.open[index] = std::move(*task);
  }
  return open_tasks.CheckFullyRead();
}

// Reads the attempts that do not fit one digit, stored as index, attempt, index, attempt...
std::optional<DecodeError> ReadHighAttempts(const wire::JsonValue& record,
                                            std::map<uint32_t, TaskState>& open) {
  const wire::JsonValue* list = wire::Find(record, "many");
  if (list == nullptr) return std::nullopt;
  if (!list->IsArray() || list->Size() % 2 != 0) {
    return DecodeError{"many", "not a list with an even number of entries"};
  }
  for (rapidjson::SizeType i = 0; i < list->Size(); i += 2) {
    const wire::JsonValue& index = (*list)[i];
    const wire::JsonValue& attempt = (*list)[i + 1];
    if (!index.IsUint() || !attempt.IsUint64()) {
      return DecodeError{"many", "expected a task index followed by an attempt number"};
    }
    auto task = open.find(index.GetUint());
    if (task == open.end()) {
      return DecodeError{"many", "task " + std::to_string(index.GetUint()) + " is not open"};
    }
    task->second.attempt = attempt.GetUint64();
  }
  return std::nullopt;
}

// Returns true if the group contains only tasks among the `count` tasks that start at `first`.
bool HasOnlyTasksIn(const TaskGroup& task_group, uint32_t first, uint32_t count) {
  auto inside = [first, count](uint32_t index) { return index >= first && index - first < count; };
  const auto& done = task_group.done.ranges();
  const bool done_inside = std::all_of(done.begin(), done.end(), [&inside](const auto& range) {
    return inside(range.first) && inside(range.second);
  });
  return done_inside && std::all_of(task_group.open.begin(), task_group.open.end(),
                                    [&inside](const auto& entry) { return inside(entry.first); });
}

TaskFlags FlagsOf(const TaskGroup& task_group, uint32_t first, uint32_t count) {
  TaskFlags flags{first, std::vector<bool>(count), std::vector<bool>(count)};
  for (const auto& [range_first, range_last] : task_group.done.ranges()) {
    for (uint32_t i = range_first; i <= range_last; ++i) flags.done[i - first] = true;
  }
  for (const auto& [index, task] : task_group.open) flags.open[index - first] = true;
  return flags;
}

// Writes the machines, and the attempts unless all of them are 1.
void WriteOpenTasks(wire::JsonWriter& json, const std::map<uint32_t, TaskState>& open,
                    const MachineNameCodec& machines) {
  std::string machine_codes;
  std::string attempts;
  std::vector<TaskAttempt> high_attempts;
  bool all_first_attempts = true;
  for (const auto& [index, task] : open) {
    wire::PutDigits(machine_codes, machines.CodeOf(task.machine), machines.digits_per_code());
    wire::PutDigits(attempts, std::min(task.attempt, kMaxOneDigitAttempt), 1);
    all_first_attempts = all_first_attempts && task.attempt == 1;
    if (task.attempt >= kMaxOneDigitAttempt) high_attempts.push_back({index, task.attempt});
  }
  json.Field("on").Text(machine_codes);
  if (!all_first_attempts) json.Field("tries").Text(attempts);
  if (high_attempts.empty()) return;
  json.Field("many").StartArray();
  for (const TaskAttempt& task : high_attempts) {
    json.Uint(task.index);
    json.Uint64(task.attempt);
  }
  json.EndArray();
}

}  // namespace

bool IsPackedTaskGroup(const wire::JsonValue& record) {
  return wire::Find(record, "of") != nullptr;
}

DecodeResult<TaskGroup> ReadPackedTaskGroup(const wire::JsonValue& record) {
  TaskGroup task_group;
  if (auto error = ReadTasks(record, task_group)) return std::move(*error);
  if (auto error = ReadHighAttempts(record, task_group.open)) return std::move(*error);
  auto runs = ReadRuns(record);
  if (!runs) return runs.error();
  task_group.runs = std::move(*runs);
  return task_group;
}

std::string WritePackedTaskGroup(const TaskGroup& task_group, uint32_t first, uint32_t count) {
  if (!HasOnlyTasksIn(task_group, first, count)) return WriteTaskGroup(task_group);
  const TaskFlags flags = FlagsOf(task_group, first, count);
  const MachineNameCodec machines = MachineNameCodec::ForTaskGroup(task_group);
  wire::JsonWriter json;
  json.StartObject();
  json.Field("first").Uint(first);
  json.Field("of").Uint(count);
  json.Field("done").Text(wire::PackFlags(flags.done));
  json.Field("open").Text(wire::PackFlags(flags.open));
  machines.Write(json);
  WriteOpenTasks(json, task_group.open, machines);
  WriteRuns(json, task_group.runs);
  json.EndObject();
  return json.Take();
}

}  // namespace hallpier::store
