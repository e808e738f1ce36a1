// A task group, which is a range of a job's tasks stored as one value on the state service, and the
// encoding of its record.
//
// The record has two forms: the text form, which versions without job dependencies read and write,
// and the packed form (store/packed_task_group.h). Pure data and functions.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "store/decode_result.h"
#include "store/task_index_set.h"
#include "wire/json.h"

namespace hallpier::store {

// A task that was placed at least once and is not done.
struct TaskState {
  uint64_t attempt = 0;  // newest attempt number recorded so far
  std::string machine;   // empty while the task waits to be placed again
  bool operator==(const TaskState&) const = default;
};

// Run times of finished tasks.
struct RunStats {
  uint64_t count = 0;
  double sum_s = 0;
};
using RunStatsByMachineType = std::map<std::string, RunStats>;

// Tasks that are neither in `done` nor in `open` were never placed.
struct TaskGroup {
  TaskIndexSet done;
  std::map<uint32_t, TaskState> open;  // by task index
  RunStatsByMachineType runs;

  // Returns the number of tasks on machines.
  uint32_t placed() const;
  // Returns true if the task is neither done nor on a machine.
  bool IsWaiting(uint32_t index) const;
  bool empty() const { return done.size() == 0 && open.empty() && runs.empty(); }
};

// Encodes the text form.
std::string WriteTaskGroup(const TaskGroup& task_group);
// Decodes either form.
DecodeResult<TaskGroup> ReadTaskGroup(std::string_view json);

// Returns the part of a group for the tasks in [first, end). Run times are not stored per task, so
// exactly one of the slices of a group must be created `with_runs`.
TaskGroup SliceTaskGroup(const TaskGroup& task_group, uint32_t first, uint32_t end, bool with_runs);

// Encode and decode the field of run times, which is the same in both forms. A record without the
// field has no run times.
void WriteRuns(wire::JsonWriter& json, const RunStatsByMachineType& runs);
DecodeResult<RunStatsByMachineType> ReadRuns(const wire::JsonValue& record);

}  // namespace hallpier::store
