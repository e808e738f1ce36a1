// How the tasks of a job are divided into task groups, each of which is one value on the state
// service. Plain data and arithmetic.
#pragma once

#include <algorithm>
#include <cstdint>

namespace hallpier::store {

// The key of a group names a whole: a range of `tasks_per_base_group` tasks. Where wholes had
// become too large for lowered limits, each was split up into parts with keys of their own.
//
// Groups are numbered from 0 over all parts of all wholes, so that where a whole is one part, the
// number of a group is that of its whole.
struct TaskGroupLayout {
  uint32_t tasks_per_base_group = 1;
  uint32_t parts_per_base_group = 1;
  bool operator==(const TaskGroupLayout&) const = default;

  // Of all parts of a whole but the last, which may have fewer.
  uint32_t tasks_per_part() const {
    return (tasks_per_base_group + parts_per_base_group - 1) / parts_per_base_group;
  }
  // The group to which a task belongs.
  uint32_t GroupOf(uint32_t index) const {
    return index / tasks_per_base_group * parts_per_base_group +
           index % tasks_per_base_group / tasks_per_part();
  }
  // The first task of a group.
  uint32_t FirstTask(uint32_t group) const {
    return WholeStart(group) +
           std::min(group % parts_per_base_group * tasks_per_part(), tasks_per_base_group);
  }
  // One past the last task of a group.
  uint32_t EndTask(uint32_t group) const {
    return WholeStart(group) +
           std::min((group % parts_per_base_group + 1) * tasks_per_part(), tasks_per_base_group);
  }

 private:
  uint32_t WholeStart(uint32_t group) const {
    return group / parts_per_base_group * tasks_per_base_group;
  }
};

// Tasks per group so that the text form of the largest group stays within `value_kb`, given machine
// names of usual length. Where names are longer, placements that do not fit wait
// (jobs::BuildTransactions). Versions without job dependencies calculate the same: the number of a
// group has no meaning without it.
uint32_t TasksPerTextGroup(double value_kb);

// The same for the packed form.
uint32_t TasksPerPackedGroup(double value_kb);

}  // namespace hallpier::store
