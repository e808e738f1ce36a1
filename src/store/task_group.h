// A group of a job's tasks, which is one value on the state service, and its record.
//
// The record has two forms: text, which versions without job dependencies read and write, and
// packed (store/packed_task_group.h). Pure data and functions.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "store/decode_result.h"
#include "store/task_index_set.h"
#include "wire/json.h"

namespace hallpier::store {

// A task that was ever placed and is not done.
struct TaskState {
  uint64_t attempt = 0;  // the newest that was ever recorded
  std::string machine;   // empty: the task waits to be placed again
  bool operator==(const TaskState&) const = default;
};

// Run times of finished tasks.
struct RunStats {
  uint64_t count = 0;
  double sum_s = 0;
};
using RunStatsByMachineType = std::map<std::string, RunStats>;

// Tasks that are neither done nor open were never placed.
struct TaskGroup {
  TaskIndexSet done;
  std::map<uint32_t, TaskState> open;  // by task index
  RunStatsByMachineType runs;

  // Tasks on machines.
  uint32_t placed() const;
  // True if the task is neither done nor on a machine.
  bool IsWaiting(uint32_t index) const;
  bool empty() const { return done.size() == 0 && open.empty() && runs.empty(); }
};

// The text form.
std::string WriteTaskGroup(const TaskGroup& task_group);
// Reads either form.
DecodeResult<TaskGroup> ReadTaskGroup(std::string_view json);

// What a group says of the tasks from `first` to `end`, the latter not included. Run times are not
// kept by task: of the slices of a group, exactly one is made `with_runs`.
TaskGroup SliceTaskGroup(const TaskGroup& task_group, uint32_t first, uint32_t end, bool with_runs);

// The field of run times, which both forms have in common. To read: a record without the field has
// none.
void WriteRuns(wire::JsonWriter& json, const RunStatsByMachineType& runs);
DecodeResult<RunStatsByMachineType> ReadRuns(const wire::JsonValue& record);

}  // namespace hallpier::store
