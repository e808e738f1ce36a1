// The packed form of a task group's record. It holds the same information as the text form in a
// fifth of the space. It is written only once every node can read it (store/record_formats.h).
#pragma once

#include <cstdint>
#include <string>

#include "store/decode_result.h"
#include "store/task_group.h"
#include "wire/json.h"

namespace hallpier::store {

// Encodes the group of `count` tasks that starts at task `first`. A group that contains any other
// task is written in the text form instead, so that no information is lost.
std::string WritePackedTaskGroup(const TaskGroup& task_group, uint32_t first, uint32_t count);

// Returns true if the record is in the packed form, even if it can't be decoded.
bool IsPackedTaskGroup(const wire::JsonValue& record);
DecodeResult<TaskGroup> ReadPackedTaskGroup(const wire::JsonValue& record);

}  // namespace hallpier::store
