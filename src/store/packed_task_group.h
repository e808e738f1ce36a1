// The packed form of a task group's record. It says what the text form does in a fifth of the
// space, and is written only once every node reads it (store/record_formats.h).
#pragma once

#include <cstdint>
#include <string>

#include "store/decode_result.h"
#include "store/task_group.h"
#include "wire/json.h"

namespace hallpier::store {

// Writes the group of the `count` tasks from `first` on. A group that says something of any other
// task is written as text instead, so that nothing of it is lost.
std::string WritePackedTaskGroup(const TaskGroup& task_group, uint32_t first, uint32_t count);

// True if the record is in the packed form, readable or not.
bool IsPackedTaskGroup(const wire::JsonValue& record);
DecodeResult<TaskGroup> ReadPackedTaskGroup(const wire::JsonValue& record);

}  // namespace hallpier::store
