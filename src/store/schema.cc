#include "store/schema.h"

#include <charconv>
#include <cstdio>

#include "wire/json.h"
#include "wire/user_codec.h"

namespace hallpier::store {
namespace {

constexpr std::string_view kJobs = "hallpier/a/j/";
constexpr std::string_view kShards = "hallpier/a/t/";
constexpr std::string_view kMarks = "hallpier/a/node/";
constexpr std::string_view kMembers = "hallpier/a/member/";
constexpr std::string_view kShares = "hallpier/a/share/";
constexpr std::string_view kFinals = "hallpier/f/";

std::optional<uint32_t> ParseIndex(std::string_view s) {
  uint32_t n = 0;
  auto r = std::from_chars(s.data(), s.data() + s.size(), n);
  if (s.empty() || r.ec != std::errc() || r.ptr != s.data() + s.size()) return std::nullopt;
  return n;
}

}  // namespace

std::string LeaderKey() { return std::string(kActive) + "leader"; }
std::string FencingTokenKey() { return std::string(kActive) + "block/0"; }
model::Precondition TokenPrecondition(model::FencingToken token) {
  return {FencingTokenKey(), token.value()};
}
std::string MachineTypesKey(uint32_t page) {
  const std::string first = std::string(kActive) + "flavors";
  return page == 0 ? first : first + "." + std::to_string(page);
}
std::string JobKey(std::string_view id) { return std::string(kJobs).append(id); }
std::string FinalKey(std::string_view id) { return std::string(kFinals).append(id); }

std::string FormatKey() { return std::string(kActive) + "format"; }
std::string NodeFormatKey(std::string_view node) { return std::string(kMarks).append(node); }

std::string MemberKey(std::string_view node) { return std::string(kMembers).append(node); }

std::string DivisionKey() { return std::string(kActive) + "division"; }
std::string ShareKey(std::string_view node) { return std::string(kShares).append(node); }

std::string TaskGroupPartKey(std::string_view id, uint32_t task_group, uint32_t part) {
  return TaskGroupKey(id, task_group) + "." + std::to_string(part);
}

std::string TaskGroupKey(std::string_view id, uint32_t task_group) {
  char number[16];
  std::snprintf(number, sizeof(number), "/%05u", task_group);
  return std::string(kShards).append(id).append(number);
}

ParsedKey ParseKey(std::string_view key) {
  ParsedKey out;
  if (key == LeaderKey()) {
    out.kind = KeyKind::kLeader;
  } else if (key == FencingTokenKey()) {
    out.kind = KeyKind::kFencingToken;
  } else if (key == MachineTypesKey()) {
    out.kind = KeyKind::kMachineTypes;
  } else if (key.starts_with(MachineTypesKey() + ".")) {
    auto page = ParseIndex(key.substr(MachineTypesKey().size() + 1));
    if (!page || *page == 0) return out;
    out.kind = KeyKind::kMachineTypes;
    out.task_group = *page;
  } else if (key == FormatKey()) {
    out.kind = KeyKind::kFormat;
  } else if (key.starts_with(kMarks)) {
    out.kind = KeyKind::kNodeFormat;
    out.job = key.substr(kMarks.size());
  } else if (key.starts_with(kMembers)) {
    out.kind = KeyKind::kMember;
    out.job = key.substr(kMembers.size());
  } else if (key == DivisionKey()) {
    out.kind = KeyKind::kDivision;
  } else if (key.starts_with(kShares)) {
    out.kind = KeyKind::kShare;
    out.job = key.substr(kShares.size());
  } else if (key.starts_with(kFinals)) {
    out.kind = KeyKind::kFinal;
    out.job = key.substr(kFinals.size());
  } else if (key.starts_with(kJobs)) {
    out.kind = KeyKind::kJob;
    out.job = key.substr(kJobs.size());
  } else if (key.starts_with(kShards)) {
    std::string_view rest = key.substr(kShards.size());
    const size_t slash = rest.find('/');
    if (slash == std::string_view::npos) return out;
    std::string_view number = rest.substr(slash + 1);
    if (const size_t dot = number.find('.'); dot != std::string_view::npos) {
      out.part = ParseIndex(number.substr(dot + 1));
      if (!out.part) return out;
      number = number.substr(0, dot);
    }
    auto n = ParseIndex(number);
    if (!n) return out;
    out.kind = KeyKind::kTaskGroup;
    out.job = rest.substr(0, slash);
    out.task_group = *n;
  }
  return out;
}

std::string WriteJob(const JobRecord& job) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("spec");
  wire::WriteJobSpec(w, job.spec);
  w.Field("at").Double(job.submitted);
  if (job.cancelled) w.Field("cancelled").Bool(true);
  if (job.group > 0) w.Field("group").Uint(job.group);
  w.EndObject();
  return w.Take();
}

std::string WriteCancelled(JobRecord job, size_t value_bytes) {
  job.cancelled = true;
  std::string value = WriteJob(job);
  if (value.size() <= value_bytes) return value;
  // Nothing of it is ever placed again, and who awaits it names it, not the other way round. Its
  // team, size and groups still count for what is on machines.
  const std::string none = "-";
  job.spec.machine_types.clear();
  job.spec.awaits.clear();
  job.spec.zone.clear();
  job.spec.job_class = job.spec.image = none;
  return WriteJob(job);
}

std::optional<JobRecord> ReadJob(std::string_view json) {
  auto d = wire::ParseObject(json);
  if (!d) return std::nullopt;
  const wire::JsonValue* spec = wire::Find(*d, "spec");
  if (spec == nullptr) return std::nullopt;
  auto s = wire::ReadJobSpec(*spec);
  if (!s) return std::nullopt;
  JobRecord job;
  job.spec = std::move(*s);
  job.submitted = wire::GetAmount(*d, "at").value_or(0);
  job.cancelled = wire::GetFlag(*d, "cancelled").value_or(false);
  const uint64_t group = wire::GetCount(*d, "group").value_or(0);
  if (group > model::kMaxTasks) return std::nullopt;
  job.group = static_cast<uint32_t>(group);
  return job;
}

std::string WriteFinal(const FinalRecord& r) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("phase").Text(wire::JobPhaseName(r.phase));
  w.Field("done").Uint64(r.done);
  if (r.at > 0) w.Field("at").Double(r.at);
  w.EndObject();
  return w.Take();
}

std::optional<FinalRecord> ReadFinal(std::string_view json) {
  auto d = wire::ParseObject(json);
  auto name = d ? wire::GetText(*d, "phase") : std::nullopt;
  auto phase = name ? wire::ParseJobPhase(*name) : std::nullopt;
  if (!phase || (*phase != model::JobPhase::kDone && *phase != model::JobPhase::kCancelled)) {
    return std::nullopt;
  }
  return FinalRecord{*phase, wire::GetCount(*d, "done").value_or(0),
                     wire::GetAmount(*d, "at").value_or(0)};
}

std::string WriteLeader(const LeaderRecord& r) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("node").Text(r.node);
  w.Field("permit").Uint64(r.lease_id);
  w.EndObject();
  return w.Take();
}

std::optional<LeaderRecord> ReadLeader(std::string_view json) {
  auto d = wire::ParseObject(json);
  auto node = d ? wire::GetText(*d, "node") : std::nullopt;
  if (!node) return std::nullopt;
  return LeaderRecord{std::move(*node), wire::GetCount(*d, "permit").value_or(0)};
}

std::string WriteFencingTokenRecord(std::string_view holder) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("holder").Text(holder);
  w.EndObject();
  return w.Take();
}

std::string WriteFormat(const FormatRecord& r) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("format").Uint64(r.format);
  w.Field("group").Uint(r.layout.whole);
  w.Field("parts").Uint(r.layout.parts);
  w.EndObject();
  return w.Take();
}

std::optional<FormatRecord> ReadFormat(std::string_view json) {
  auto d = wire::ParseObject(json);
  if (!d) return std::nullopt;
  auto format = wire::GetCount(*d, "format");
  auto group = wire::GetCount(*d, "group");
  auto parts = wire::GetCount(*d, "parts");
  if (!format || !group || !parts || *group < 1 || *group > model::kMaxTasks || *parts < 1 ||
      *parts > *group) {
    return std::nullopt;
  }
  return FormatRecord{*format, {static_cast<uint32_t>(*group), static_cast<uint32_t>(*parts)}};
}

std::string WriteNodeFormat(uint64_t format) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("format").Uint64(format);
  w.EndObject();
  return w.Take();
}

uint64_t ReadNodeFormat(std::string_view json) {
  auto d = wire::ParseObject(json);
  return d ? wire::GetCount(*d, "format").value_or(0) : 0;
}

}  // namespace hallpier::store
