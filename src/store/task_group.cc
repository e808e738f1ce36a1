#include "store/task_group.h"

#include <utility>
#include <vector>

#include "model/job.h"
#include "store/packed_task_group.h"

namespace hallpier::store {
namespace {

// Bytes that an open task is allowed on average: its number and a machine's name of its own.
constexpr double kTaskBytes = 22;
// Part of a value that open tasks may fill.
constexpr double kOpenShare = 0.9;
std::optional<TaskGroup> ReadText(const wire::JsonValue& v) {
  TaskGroup s;
  const wire::JsonValue* done = wire::Find(v, "done");
  const wire::JsonValue* on = wire::Find(v, "on");
  if (done == nullptr || !done->IsArray() || done->Size() % 2 != 0 || on == nullptr ||
      !on->IsObject()) {
    return std::nullopt;
  }
  for (rapidjson::SizeType i = 0; i < done->Size(); i += 2) {
    const auto& first = (*done)[i];
    const auto& last = (*done)[i + 1];
    if (!first.IsUint() || !last.IsUint() || last.GetUint() >= model::kMaxTasks) {
      return std::nullopt;
    }
    for (uint32_t n = first.GetUint(); n <= last.GetUint(); ++n) s.done.Insert(n);
  }
  for (const auto& m : on->GetObject()) {
    if (!m.value.IsArray()) return std::nullopt;
    const std::string machine(m.name.GetString(), m.name.GetStringLength());
    TaskState* task = nullptr;
    for (const auto& number : m.value.GetArray()) {
      if (number.IsUint()) {
        // A task that stands on two machines would be one that nobody can find again.
        auto [it, fresh] = s.open.try_emplace(number.GetUint());
        if (!fresh || number.GetUint() >= model::kMaxTasks) return std::nullopt;
        task = &it->second;
        *task = {1, machine};
      } else if (number.IsInt64() && task != nullptr && number.GetInt64() < 0) {
        task->attempt = static_cast<uint64_t>(-(number.GetInt64() + 1)) + 1;
        task = nullptr;
      } else {
        return std::nullopt;
      }
    }
  }
  if (!ReadRuns(v, &s)) return std::nullopt;
  return s;
}

}  // namespace

void WriteRuns(wire::JsonWriter& w, const TaskGroup& task_group) {
  w.Field("runs").StartObject();
  for (const auto& [machine_type, stats] : task_group.runs) {
    w.Key(machine_type.c_str());
    w.StartArray();
    w.Uint64(stats.count);
    w.Double(stats.sum_s);
    w.EndArray();
  }
  w.EndObject();
}

bool ReadRuns(const wire::JsonValue& v, TaskGroup* s) {
  const wire::JsonValue* runs = wire::Find(v, "runs");
  if (runs == nullptr || !runs->IsObject()) return true;
  for (const auto& m : runs->GetObject()) {
    if (!m.value.IsArray() || m.value.Size() != 2 || !m.value[0].IsUint64() ||
        !m.value[1].IsNumber()) {
      return false;
    }
    s->runs[m.name.GetString()] = {m.value[0].GetUint64(), m.value[1].GetDouble()};
  }
  return true;
}

bool IndexSet::Contains(uint32_t i) const {
  auto it = ranges_.upper_bound(i);
  if (it == ranges_.begin()) return false;
  return std::prev(it)->second >= i;
}

void IndexSet::Insert(uint32_t i) {
  if (Contains(i)) return;
  ++size_;
  uint32_t last = i;
  auto next = ranges_.upper_bound(i);
  if (next != ranges_.end() && next->first == i + 1) {
    last = next->second;
    next = ranges_.erase(next);
  }
  if (next != ranges_.begin() && std::prev(next)->second + 1 == i) {
    std::prev(next)->second = last;
  } else {
    ranges_[i] = last;
  }
}

uint32_t TaskGroup::placed() const {
  return static_cast<uint32_t>(std::count_if(
      open.begin(), open.end(), [](const auto& entry) { return !entry.second.machine.empty(); }));
}

bool TaskGroup::IsWaiting(uint32_t index) const {
  if (done.Contains(index)) return false;
  auto task = open.find(index);
  return task == open.end() || task->second.machine.empty();
}

std::string WriteTaskGroup(const TaskGroup& task_group) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("done").StartArray();
  for (const auto& [first, last] : task_group.done.ranges()) {
    w.Uint(first);
    w.Uint(last);
  }
  w.EndArray();
  std::map<std::string_view, std::vector<std::pair<uint32_t, uint64_t>>> by_machine;
  for (const auto& [index, task] : task_group.open) {
    by_machine[task.machine].emplace_back(index, task.attempt);
  }
  w.Field("on").StartObject();
  for (const auto& [machine, tasks] : by_machine) {
    w.Key(machine.data(), static_cast<rapidjson::SizeType>(machine.size()));
    w.StartArray();
    for (const auto& [index, attempt] : tasks) {
      w.Uint(index);
      if (attempt != 1) w.Int64(-static_cast<int64_t>(attempt));
    }
    w.EndArray();
  }
  w.EndObject();
  WriteRuns(w, task_group);
  w.EndObject();
  return w.Take();
}

std::optional<TaskGroup> ReadTaskGroup(std::string_view json) {
  auto d = wire::ParseObject(json);
  if (!d) return std::nullopt;
  return wire::Find(*d, "of") != nullptr ? ReadPacked(*d) : ReadText(*d);
}

uint32_t TasksPerGroup(double value_kb) {
  return std::max(1U, static_cast<uint32_t>(value_kb * 1024 * kOpenShare / kTaskBytes));
}

TaskGroup Slice(const TaskGroup& task_group, uint32_t first, uint32_t end, bool with_runs) {
  TaskGroup out;
  for (const auto& [from, last] : task_group.done.ranges()) {
    for (uint32_t i = std::max(from, first); i <= last && i < end; ++i) out.done.Insert(i);
  }
  out.open.insert(task_group.open.lower_bound(first), task_group.open.lower_bound(end));
  if (with_runs) out.runs = task_group.runs;
  return out;
}

}  // namespace hallpier::store
