// Submissions, polls and cancellations in the JSON of the users' protocol.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "model/job.h"
#include "wire/json.h"

namespace hallpier::wire {

std::string_view JobPhaseName(model::JobPhase phase);
std::optional<model::JobPhase> ParseJobPhase(std::string_view name);

// The first field of a submission that is missing or invalid.
struct BadField {
  std::string field;
  std::string reason;
};

// Nothing, with `bad` filled in, if a field is missing or invalid.
std::optional<model::JobSpec> ReadJobSpec(const JsonValue& v, BadField* bad);
void WriteJobSpec(JsonWriter& w, const model::JobSpec& spec);

std::string WriteStatus(const model::JobStatus& s);
std::string WritePhase(std::string_view id, model::JobPhase phase);
std::string WriteError(std::string_view reason, std::string_view field = {});

}  // namespace hallpier::wire
