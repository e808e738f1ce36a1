#include "store/task_group.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "model/job.h"
#include "store/packed_task_group.h"

namespace hallpier::store {
namespace {

struct TaskAttempt {
  uint32_t index = 0;
  uint64_t attempt = 0;
};

// Reads "done", a flat list of ranges: first, last, first, last...
std::optional<DecodeError> ReadDoneRanges(const wire::JsonValue& record, TaskIndexSet& done) {
  const wire::JsonValue* ranges = wire::Find(record, "done");
  if (ranges == nullptr || !ranges->IsArray() || ranges->Size() % 2 != 0) {
    return DecodeError{"done", "missing, or not a list with an even number of entries"};
  }
  for (rapidjson::SizeType i = 0; i < ranges->Size(); i += 2) {
    const wire::JsonValue& first = (*ranges)[i];
    const wire::JsonValue& last = (*ranges)[i + 1];
    if (!first.IsUint() || !last.IsUint() || last.GetUint() >= model::kMaxTasksPerJob) {
      return DecodeError{"done", "not a task index"};
    }
    for (uint32_t index = first.GetUint(); index <= last.GetUint(); ++index) done.Insert(index);
  }
  return std::nullopt;
}

// Reads the tasks on one machine: task indexes, each followed by the negated attempt unless the
// attempt is 1.
std::optional<DecodeError> ReadTasksOnMachine(const std::string& machine,
                                              const wire::JsonValue& numbers,
                                              std::map<uint32_t, TaskState>& open) {
  if (!numbers.IsArray()) {
    return DecodeError{"on", "tasks of machine \"" + machine + "\" are not a list"};
  }
  TaskState* task = nullptr;  // the task whose attempt may follow
  for (const auto& number : numbers.GetArray()) {
    if (number.IsUint()) {
      // A task listed on two machines would be lost on one of them.
      auto [entry, is_new] = open.try_emplace(number.GetUint());
      if (!is_new) {
        return DecodeError{"on", "task " + std::to_string(number.GetUint()) + " is listed twice"};
      }
      if (number.GetUint() >= model::kMaxTasksPerJob) {
        return DecodeError{"on", std::to_string(number.GetUint()) + " is not a task index"};
      }
      task = &entry->second;
      *task = {1, machine};
    } else if (number.IsInt64() && task != nullptr && number.GetInt64() < 0) {
      // Adding 1 before negating keeps the smallest integer from overflowing.
      task->attempt = static_cast<uint64_t>(-(number.GetInt64() + 1)) + 1;
      task = nullptr;
    } else {
      return DecodeError{"on", "expected a task index, or a negated attempt after a task index"};
    }
  }
  return std::nullopt;
}

std::optional<DecodeError> ReadOpenTasks(const wire::JsonValue& record,
                                         std::map<uint32_t, TaskState>& open) {
  const wire::JsonValue* machines = wire::Find(record, "on");
  if (machines == nullptr || !machines->IsObject()) {
    return DecodeError{"on", "missing, or not an object"};
  }
  for (const auto& member : machines->GetObject()) {
    const std::string machine(member.name.GetString(), member.name.GetStringLength());
    if (auto error = ReadTasksOnMachine(machine, member.value, open)) return error;
  }
  return std::nullopt;
}

DecodeResult<TaskGroup> ReadTextForm(const wire::JsonValue& record) {
  TaskGroup task_group;
  if (auto error = ReadDoneRanges(record, task_group.done)) return std::move(*error);
  if (auto error = ReadOpenTasks(record, task_group.open)) return std::move(*error);
  auto runs = ReadRuns(record);
  if (!runs) return runs.error();
  task_group.runs = std::move(*runs);
  return task_group;
}

void WriteOpenTasks(wire::JsonWriter& json, const std::map<uint32_t, TaskState>& open) {
  std::map<std::string_view, std::vector<TaskAttempt>> by_machine;
  for (const auto& [index, task] : open) by_machine[task.machine].push_back({index, task.attempt});
  json.Field("on").StartObject();
  for (const auto& [machine, tasks] : by_machine) {
    json.Key(machine.data(), static_cast<rapidjson::SizeType>(machine.size()));
    json.StartArray();
    for (const TaskAttempt& task : tasks) {
      json.Uint(task.index);
      if (task.attempt != 1) json.Int64(-static_cast<int64_t>(task.attempt));
    }
    json.EndArray();
  }
  json.EndObject();
}

}  // namespace

uint32_t TaskGroup::placed() const {
  return static_cast<uint32_t>(std::count_if(
      open.begin(), open.end(), [](const auto& entry) { return !entry.second.machine.empty(); }));
}

bool TaskGroup::IsWaiting(uint32_t index) const {
  if (done.Contains(index)) return false;
  auto task = open.find(index);
  return task == open.end() || task->second.machine.empty();
}

void WriteRuns(wire::JsonWriter& json, const RunStatsByMachineType& runs) {
  json.Field("runs").StartObject();
  for (const auto& [machine_type, stats] : runs) {
    json.Key(machine_type.c_str());
    json.StartArray();
    json.Uint64(stats.count);
    json.Double(stats.sum_s);
    json.EndArray();
  }
  json.EndObject();
}

DecodeResult<RunStatsByMachineType> ReadRuns(const wire::JsonValue& record) {
  RunStatsByMachineType runs;
  const wire::JsonValue* by_type = wire::Find(record, "runs");
  if (by_type == nullptr || !by_type->IsObject()) return runs;
  for (const auto& member : by_type->GetObject()) {
    const wire::JsonValue& stats = member.value;
    if (!stats.IsArray() || stats.Size() != 2 || !stats[0].IsUint64() || !stats[1].IsNumber()) {
      return DecodeError{"runs", "expected [count, seconds] for each machine type"};
    }
    runs[member.name.GetString()] = {stats[0].GetUint64(), stats[1].GetDouble()};
  }
  return runs;
}

std::string WriteTaskGroup(const TaskGroup& task_group) {
  wire::JsonWriter json;
  json.StartObject();
  json.Field("done").StartArray();
  for (const auto& [first, last] : task_group.done.ranges()) {
    json.Uint(first);
    json.Uint(last);
  }
  json.EndArray();
  WriteOpenTasks(json, task_group.open);
  WriteRuns(json, task_group.runs);
  json.EndObject();
  return json.Take();
}

DecodeResult<TaskGroup> ReadTaskGroup(std::string_view json) {
  const auto record = wire::ParseObject(json);
  if (!record) return DecodeError{"", "not a JSON object"};
  return IsPackedTaskGroup(*record) ? ReadPackedTaskGroup(*record) : ReadTextForm(*record);
}

TaskGroup SliceTaskGroup(const TaskGroup& task_group, uint32_t first, uint32_t end,
                         bool with_runs) {
  TaskGroup slice;
  for (const auto& [range_first, range_last] : task_group.done.ranges()) {
    for (uint32_t index = std::max(range_first, first); index <= range_last && index < end;
         ++index) {
      slice.done.Insert(index);
    }
  }
  slice.open.insert(task_group.open.lower_bound(first), task_group.open.lower_bound(end));
  if (with_runs) slice.runs = task_group.runs;
  return slice;
}

}  // namespace hallpier::store
