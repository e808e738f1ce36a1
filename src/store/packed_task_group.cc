#include "store/packed_task_group.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "model/job.h"
#include "store/machine_name_codec.h"
#include "wire/digits.h"

namespace hallpier::store {
namespace {

// The highest attempt that one digit tells apart; it stands for all higher ones as well, which are
// then listed in full under "many".
constexpr uint64_t kMaxDigitAttempt = 63;

struct TaskAttempt {
  uint32_t index = 0;
  uint64_t attempt = 0;
};

// Which of the tasks from `first` on are done, or open.
struct TaskFlags {
  uint32_t first = 0;
  std::vector<bool> done;
  std::vector<bool> open;  // of the same size
};

DecodeResult<std::vector<bool>> ReadFlags(const wire::JsonValue& record, const char* field,
                                          uint64_t count) {
  const std::optional<std::string> text = wire::GetText(record, field);
  if (!text) return DecodeError{field, "missing, or no text"};
  auto flags = wire::UnpackFlags(*text, count);
  if (!flags) return DecodeError{field, "not one flag for each task"};
  return std::move(*flags);
}

DecodeResult<TaskFlags> ReadTaskFlags(const wire::JsonValue& record) {
  const std::optional<uint64_t> first = wire::GetCount(record, "first");
  const std::optional<uint64_t> count = wire::GetCount(record, "of");
  if (!first || *first > model::kMaxTasks) return DecodeError{"first", "no task index"};
  if (!count || *count > model::kMaxTasks || *first + *count > model::kMaxTasks) {
    return DecodeError{"of", "no number of tasks"};
  }
  auto done = ReadFlags(record, "done", *count);
  if (!done) return done.error();
  auto open = ReadFlags(record, "open", *count);
  if (!open) return open.error();
  return TaskFlags{static_cast<uint32_t>(*first), std::move(*done), std::move(*open)};
}

// Reads machine and attempt of each open task in turn.
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
    if (!machine) return DecodeError{"on", "no code of a machine"};
    std::optional<uint64_t> attempt = 1;
    if (!all_first_attempts_) attempt = wire::TakeDigits(attempts_, 1);
    if (!attempt) return DecodeError{"tries", "not one attempt for each open task"};
    return TaskState{*attempt, std::move(*machine)};
  }

  // What is wrong once all open tasks are read.
  std::optional<DecodeError> CheckEnd() const {
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
  if (!machine_codes) return DecodeError{"on", "missing, or no text"};
  const std::string attempts = wire::GetText(record, "tries").value_or("");
  OpenTaskReader open_tasks(*machines, *machine_codes, attempts);
  for (size_t i = 0; i < flags->done.size(); ++i) {
    const uint32_t index = flags->first + static_cast<uint32_t>(i);
    if (flags->done[i]) task_group.done.Insert(index);
    if (!flags->open[i]) continue;
    // A task that is done and on a machine as well could never be ended.
    if (flags->done[i]) return DecodeError{"open", "a task is done and open"};
    auto task = open_tasks.Next();
    if (!task) return task.error();
    task_group.open[index] = std::move(*task);
  }
  return open_tasks.CheckEnd();
}

// The attempts that do not fit a digit: index, attempt, index, attempt...
std::optional<DecodeError> ReadHighAttempts(const wire::JsonValue& record,
                                            std::map<uint32_t, TaskState>& open) {
  const wire::JsonValue* list = wire::Find(record, "many");
  if (list == nullptr) return std::nullopt;
  if (!list->IsArray() || list->Size() % 2 != 0) return DecodeError{"many", "no list of pairs"};
  for (rapidjson::SizeType i = 0; i < list->Size(); i += 2) {
    const wire::JsonValue& index = (*list)[i];
    const wire::JsonValue& attempt = (*list)[i + 1];
    if (!index.IsUint() || !attempt.IsUint64()) {
      return DecodeError{"many", "no pair of task and attempt"};
    }
    auto task = open.find(index.GetUint());
    if (task == open.end()) return DecodeError{"many", "the task is not open"};
    task->second.attempt = attempt.GetUint64();
  }
  return std::nullopt;
}

// True if all that the group says is of the `count` tasks from `first` on.
bool IsWithin(const TaskGroup& task_group, uint32_t first, uint32_t count) {
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

// Machines, then attempts if any is not the first.
void WriteOpenTasks(wire::JsonWriter& json, const std::map<uint32_t, TaskState>& open,
                    const MachineNameCodec& machines) {
  std::string machine_codes;
  std::string attempts;
  std::vector<TaskAttempt> high_attempts;
  bool all_first_attempts = true;
  for (const auto& [index, task] : open) {
    wire::PutDigits(machine_codes, machines.CodeOf(task.machine), machines.digits_per_code());
    wire::PutDigits(attempts, std::min(task.attempt, kMaxDigitAttempt), 1);
    all_first_attempts = all_first_attempts && task.attempt == 1;
    if (task.attempt >= kMaxDigitAttempt) high_attempts.push_back({index, task.attempt});
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
  if (!IsWithin(task_group, first, count)) return WriteTaskGroup(task_group);
  const TaskFlags flags = FlagsOf(task_group, first, count);
  const MachineNameCodec machines = MachineNameCodec::For(task_group);
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
