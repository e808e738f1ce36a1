// The packed form of a group of tasks: it says what the text form does in a fifth of the room, and
// is written only once every node reads it (store::Formats).
#pragma once

#include <optional>
#include <string>

#include "store/task_group.h"
#include "wire/json.h"

namespace hallpier::store {

// Of the tasks from `first` on, `count` of them. A group that holds others is written as text:
// nothing of it may get lost.
std::string WritePacked(const TaskGroup& task_group, uint32_t first, uint32_t count);
std::optional<TaskGroup> ReadPacked(const wire::JsonValue& v);

// Tasks that share a value in the packed form.
uint32_t TasksPerPacked(double value_kb);

}  // namespace hallpier::store
