// Groups of a job's tasks, many in one value, and how tasks are divided into groups.
//
// The text form is what versions without pipelines read and write; store/packed_task_group.h has
// the other.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "wire/json.h"

namespace hallpier::store {

// A set of task numbers, kept as ranges.
class IndexSet {
 public:
  bool Contains(uint32_t i) const;
  void Insert(uint32_t i);
  uint32_t size() const { return size_; }
  // first -> last, both included
  const std::map<uint32_t, uint32_t>& ranges() const { return ranges_; }

 private:
  std::map<uint32_t, uint32_t> ranges_;
  uint32_t size_ = 0;
};

struct TaskState {
  uint64_t attempt = 0;  // the newest that was ever recorded
  std::string machine;   // empty: waiting
  bool operator==(const TaskState&) const = default;
};

struct RunStats {
  uint64_t count = 0;
  double sum_s = 0;
};

// Many tasks of a job in one value. Tasks that are neither done nor open were never placed.
struct TaskGroup {
  IndexSet done;
  std::map<uint32_t, TaskState> open;
  std::map<std::string, RunStats> runs;  // by machine type
  uint32_t placed() const;
  // True if the task is neither done nor on a machine.
  bool IsWaiting(uint32_t index) const;
  bool empty() const { return done.size() == 0 && open.empty() && runs.empty(); }
};
std::string WriteTaskGroup(const TaskGroup& task_group);
// Takes either form.
std::optional<TaskGroup> ReadTaskGroup(std::string_view json);
// What both forms have alike.
void WriteRuns(wire::JsonWriter& w, const TaskGroup& task_group);
bool ReadRuns(const wire::JsonValue& v, TaskGroup* s);

// Tasks that share a value in the text form, so that with names of usual length the largest stays
// within `value_kb`. Where names are longer, placements that no longer fit wait
// (jobs::BuildTransactions). Versions without pipelines reckon the same: a group's number means
// nothing without it.
uint32_t TasksPerGroup(double value_kb);
// How a job's tasks are divided into groups. A group's key names a whole; where wholes had become
// too large for the limits, each was carried over to parts with keys of their own.
struct Layout {
  uint32_t whole = 1;  // tasks of a whole
  uint32_t parts = 1;  // groups that a whole is kept in
  bool operator==(const Layout&) const = default;

  uint32_t per_part() const { return (whole + parts - 1) / parts; }
  // Groups are numbered through, over all wholes.
  uint32_t GroupOf(uint32_t index) const {
    return index / whole * parts + index % whole / per_part();
  }
  uint32_t First(uint32_t group) const {
    return group / parts * whole + std::min(group % parts * per_part(), whole);
  }
  uint32_t End(uint32_t group) const {
    return group / parts * whole + std::min((group % parts + 1) * per_part(), whole);
  }
};

// What a shard says of the tasks from `first` to `end`, the latter not included. Its run times go
// with the first of all.
TaskGroup Slice(const TaskGroup& task_group, uint32_t first, uint32_t end, bool with_runs);

}  // namespace hallpier::store
