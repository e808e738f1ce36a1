// Defines how the tasks of a job are divided into task groups, each of which is one value on the
// state service. Plain data and arithmetic.
#pragma once

#include <algorithm>
#include <cstdint>

namespace hallpier::store {

// The tasks are divided into base groups of `tasks_per_base_group` tasks each, and the key of a
// task group contains the number of its base group. If base groups would be too large for the
// lowered limits, each is split into parts, which have separate keys.
//
// Each part is one task group. Task groups are numbered from 0 over all parts of all base groups.
// If base groups have one part, the number of a task group equals the number of its base group.
struct TaskGroupLayout {
  uint32_t tasks_per_base_group = 1;
  uint32_t parts_per_base_group = 1;
  bool operator==(const TaskGroupLayout&) const = default;

  // Number of tasks in each part of a base group except the last, which may have fewer.
  uint32_t tasks_per_part() const {
    return (tasks_per_base_group + parts_per_base_group - 1) / parts_per_base_group;
  }
  // Returns the group that contains a task.
  uint32_t GroupOf(uint32_t index) const {
    return index / tasks_per_base_group * parts_per_base_group +
           index % tasks_per_base_group / tasks_per_part();
  }
  // Returns the index of the first task of a group.
  uint32_t FirstTask(uint32_t group) const {
    return BaseGroupStart(group) +
           std::min(group % parts_per_base_group * tasks_per_part(), tasks_per_base_group);
  }
  // Returns the index after the last task of a group.
  uint32_t EndTask(uint32_t group) const {
    return BaseGroupStart(group) +
           std::min((group % parts_per_base_group + 1) * tasks_per_part(), tasks_per_base_group);
  }

 private:
  uint32_t BaseGroupStart(uint32_t group) const {
    return group / parts_per_base_group * tasks_per_base_group;
  }
};

// Returns the number of tasks per group for which the text form of the largest group fits
// `value_kb`, given machine names of usual length. If names are longer, placements that do not fit
// wait (jobs::BuildTransactions). Versions without job dependencies use the same calculation, and a
// group number has no meaning without it.
uint32_t TasksPerTextGroup(double value_kb);

// The same for the packed form.
uint32_t TasksPerPackedGroup(double value_kb);

}  // namespace hallpier::store
