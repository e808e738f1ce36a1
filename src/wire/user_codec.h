// Encodes and decodes the JSON of the users' protocol: submissions, job status and cancellations.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "model/job.h"
#include "wire/json.h"

namespace hallpier::wire {

std::string_view JobPhaseName(model::JobPhase phase);
// Returns std::nullopt if no phase has this name.
std::optional<model::JobPhase> ParseJobPhase(std::string_view name);

// The first missing or invalid field of a submission.
struct FieldError {
  std::string field;  // its name on the wire
  std::string reason;
};

Result<model::JobSpec, FieldError> ReadJobSpec(const JsonValue& object);
void WriteJobSpec(JsonWriter& writer, const model::JobSpec& spec);

std::string WriteJobStatus(const model::JobStatus& status);
std::string WriteJobPhase(std::string_view id, model::JobPhase phase);
// `field` is the invalid field of the request; empty if the error is not about a field.
std::string WriteError(std::string_view reason, std::string_view field = {});

}  // namespace hallpier::wire
