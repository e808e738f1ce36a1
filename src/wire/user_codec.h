// Submissions, polls and cancellations in the JSON of the users' protocol.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "model/job.h"
#include "wire/json.h"

namespace hallpier::wire {

std::string_view JobPhaseName(model::JobPhase phase);
std::optional<model::JobPhase> ParseJobPhase(std::string_view name);

// The first field of a submission that is missing or invalid, by its name on the wire.
struct FieldError {
  std::string field;
  std::string reason;
};

Result<model::JobSpec, FieldError> ReadJobSpec(const JsonValue& object);
void WriteJobSpec(JsonWriter& writer, const model::JobSpec& spec);

std::string WriteJobStatus(const model::JobStatus& status);
std::string WriteJobPhase(std::string_view id, model::JobPhase phase);
// `field`: the one at fault; empty: none.
std::string WriteError(std::string_view reason, std::string_view field = {});

}  // namespace hallpier::wire
