#include "store/records.h"

#include <optional>
#include <utility>

#include "wire/json.h"
#include "wire/user_codec.h"

namespace hallpier::store {
namespace {

DecodeError NotAnObject() { return {"", "not a JSON object"}; }

DecodeError NotANumber(const char* field) {
  return {field, "missing, or not a non-negative integer"};
}

}  // namespace

std::string WriteJob(const JobRecord& job) {
  wire::JsonWriter json;
  json.StartObject();
  json.Field("spec");
  wire::WriteJobSpec(json, job.spec);
  json.Field("at").Double(job.submitted_at);
  if (job.cancelled) json.Field("cancelled").Bool(true);
  if (job.tasks_per_group > 0) json.Field("group").Uint(job.tasks_per_group);
  json.EndObject();
  return json.Take();
}

std::string WriteCancelledJob(JobRecord job, size_t value_bytes) {
  job.cancelled = true;
  std::string value = WriteJob(job);
  if (value.size() <= value_bytes) return value;
  // None of the job's tasks is placed again, and its dependents name it in their records, not the
  // other way round. Its team, size and task groups still matter for its tasks that are on
  // machines.
  const std::string placeholder = "-";
  job.spec.machine_types.clear();
  job.spec.dependencies.clear();
  job.spec.zone.clear();
  job.spec.job_class = placeholder;
  job.spec.image = placeholder;
  return WriteJob(job);
}

DecodeResult<JobRecord> ReadJob(std::string_view json) {
  const auto object = wire::ParseObject(json);
  if (!object) return NotAnObject();
  const wire::JsonValue* spec_json = wire::Find(*object, "spec");
  if (spec_json == nullptr) return DecodeError{"spec", "missing"};
  auto spec = wire::ReadJobSpec(*spec_json);
  if (!spec) return DecodeError{"spec." + spec.error().field, spec.error().reason};
  JobRecord job;
  job.spec = std::move(*spec);
  job.submitted_at = wire::GetAmount(*object, "at").value_or(0);
  job.cancelled = wire::GetFlag(*object, "cancelled").value_or(false);
  const uint64_t group = wire::GetCount(*object, "group").value_or(0);
  if (group > model::kMaxTasksPerJob) {
    return DecodeError{"group", std::to_string(group) + " exceeds the limit of " +
                                    std::to_string(model::kMaxTasksPerJob) + " tasks per job"};
  }
  job.tasks_per_group = static_cast<uint32_t>(group);
  return job;
}

std::string WriteFinal(const FinalRecord& record) {
  wire::JsonWriter json;
  json.StartObject();
  json.Field("phase").Text(wire::JobPhaseName(record.phase));
  json.Field("done").Uint64(record.done);
  if (record.recorded_at > 0) json.Field("at").Double(record.recorded_at);
  json.EndObject();
  return json.Take();
}

DecodeResult<FinalRecord> ReadFinal(std::string_view json) {
  const auto object = wire::ParseObject(json);
  if (!object) return NotAnObject();
  const std::optional<std::string> phase_name = wire::GetText(*object, "phase");
  if (!phase_name) return DecodeError{"phase", "missing, or not a string"};
  const std::optional<model::JobPhase> phase = wire::ParseJobPhase(*phase_name);
  if (phase != model::JobPhase::kDone && phase != model::JobPhase::kCancelled) {
    return DecodeError{"phase", "\"" + *phase_name + "\", expected done or cancelled"};
  }
  return FinalRecord{*phase, wire::GetCount(*object, "done").value_or(0),
                     wire::GetAmount(*object, "at").value_or(0)};
}

std::string WriteLeader(const LeaderRecord& record) {
  wire::JsonWriter json;
  json.StartObject();
  json.Field("node").Text(record.node);
  json.Field("permit").Uint64(record.lease_id);
  json.EndObject();
  return json.Take();
}

DecodeResult<LeaderRecord> ReadLeader(std::string_view json) {
  const auto object = wire::ParseObject(json);
  if (!object) return NotAnObject();
  std::optional<std::string> node = wire::GetText(*object, "node");
  if (!node) return DecodeError{"node", "missing, or not a string"};
  return LeaderRecord{std::move(*node), wire::GetCount(*object, "permit").value_or(0)};
}

std::string WriteFencingTokenRecord(std::string_view holder) {
  wire::JsonWriter json;
  json.StartObject();
  json.Field("holder").Text(holder);
  json.EndObject();
  return json.Take();
}

std::string WriteFormat(const FormatRecord& record) {
  wire::JsonWriter json;
  json.StartObject();
  json.Field("format").Uint64(record.format);
  json.Field("group").Uint(record.layout.tasks_per_base_group);
  json.Field("parts").Uint(record.layout.parts_per_base_group);
  json.EndObject();
  return json.Take();
}

DecodeResult<FormatRecord> ReadFormat(std::string_view json) {
  const auto object = wire::ParseObject(json);
  if (!object) return NotAnObject();
  const std::optional<uint64_t> format = wire::GetCount(*object, "format");
  const std::optional<uint64_t> group = wire::GetCount(*object, "group");
  const std::optional<uint64_t> parts = wire::GetCount(*object, "parts");
  if (!format) return NotANumber("format");
  if (!group) return NotANumber("group");
  if (!parts) return NotANumber("parts");
  if (*group < 1 || *group > model::kMaxTasksPerJob) {
    return DecodeError{"group", std::to_string(*group) + " is not between 1 and " +
                                    std::to_string(model::kMaxTasksPerJob)};
  }
  if (*parts < 1 || *parts > *group) {
    return DecodeError{"parts", std::to_string(*parts) + " is not between 1 and the group size " +
                                    std::to_string(*group)};
  }
  return FormatRecord{*format, {static_cast<uint32_t>(*group), static_cast<uint32_t>(*parts)}};
}

std::string WriteNodeFormat(uint64_t format) {
  wire::JsonWriter json;
  json.StartObject();
  json.Field("format").Uint64(format);
  json.EndObject();
  return json.Take();
}

DecodeResult<uint64_t> ReadNodeFormat(std::string_view json) {
  const auto object = wire::ParseObject(json);
  if (!object) return NotAnObject();
  const std::optional<uint64_t> format = wire::GetCount(*object, "format");
  if (!format) return NotANumber("format");
  return *format;
}

}  // namespace hallpier::store
