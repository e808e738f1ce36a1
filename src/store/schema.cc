#include "store/schema.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace hallpier::store {
namespace {

constexpr std::string_view kJobs = "hallpier/a/j/";
constexpr std::string_view kShards = "hallpier/a/t/";
constexpr std::string_view kFinals = "hallpier/f/";
// Bytes that an open task is allowed on average: its number and a machine's name of its own.
constexpr double kTaskBytes = 22;
// Part of a value that open tasks may fill.
constexpr double kOpenShare = 0.9;

std::optional<uint32_t> ParseIndex(std::string_view s) {
  uint32_t n = 0;
  auto r = std::from_chars(s.data(), s.data() + s.size(), n);
  if (s.empty() || r.ec != std::errc() || r.ptr != s.data() + s.size()) return std::nullopt;
  return n;
}

}  // namespace

std::string LeaderKey() { return std::string(kActive) + "leader"; }
std::string BlockKey(int block) { return std::string(kActive) + "block/" + std::to_string(block); }
std::string FlavorsKey() { return std::string(kActive) + "flavors"; }
std::string JobKey(std::string_view id) { return std::string(kJobs).append(id); }
std::string FinalKey(std::string_view id) { return std::string(kFinals).append(id); }

std::string ShardKey(std::string_view id, uint32_t shard) {
  char number[16];
  std::snprintf(number, sizeof(number), "/%05u", shard);
  return std::string(kShards).append(id).append(number);
}

ParsedKey ParseKey(std::string_view key) {
  ParsedKey out;
  if (key == LeaderKey()) {
    out.kind = KeyKind::kLeader;
  } else if (key == BlockKey(0)) {
    out.kind = KeyKind::kBlock;
  } else if (key == FlavorsKey()) {
    out.kind = KeyKind::kFlavors;
  } else if (key.starts_with(kJobs)) {
    out.kind = KeyKind::kJob;
    out.job = key.substr(kJobs.size());
  } else if (key.starts_with(kShards)) {
    std::string_view rest = key.substr(kShards.size());
    size_t slash = rest.find('/');
    auto n = slash == std::string_view::npos ? std::nullopt : ParseIndex(rest.substr(slash + 1));
    if (!n) return out;
    out.kind = KeyKind::kShard;
    out.job = rest.substr(0, slash);
    out.shard = *n;
  }
  return out;
}

bool IndexSet::Contains(uint32_t i) const {
  auto it = ranges_.upper_bound(i);
  if (it == ranges_.begin()) return false;
  return std::prev(it)->second >= i;
}

void IndexSet::Insert(uint32_t i) {
  if (Contains(i)) return;
  ++size_;
  uint32_t last = i;
  auto next = ranges_.upper_bound(i);
  if (next != ranges_.end() && next->first == i + 1) {
    last = next->second;
    next = ranges_.erase(next);
  }
  if (next != ranges_.begin() && std::prev(next)->second + 1 == i) {
    std::prev(next)->second = last;
  } else {
    ranges_[i] = last;
  }
}

std::string WriteJob(const JobRecord& job) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("spec");
  wire::WriteJobSpec(w, job.spec);
  w.Field("at").Double(job.submitted);
  if (job.cancelled) w.Field("cancelled").Bool(true);
  w.EndObject();
  return w.Take();
}

std::optional<JobRecord> ReadJob(std::string_view json) {
  auto d = wire::ParseObject(json);
  if (!d) return std::nullopt;
  const wire::JsonValue* spec = wire::Find(*d, "spec");
  if (spec == nullptr) return std::nullopt;
  wire::BadField bad;
  auto s = wire::ReadJobSpec(*spec, &bad);
  if (!s) return std::nullopt;
  JobRecord job;
  job.spec = std::move(*s);
  job.submitted = wire::GetAmount(*d, "at").value_or(0);
  job.cancelled = wire::GetFlag(*d, "cancelled").value_or(false);
  return job;
}

uint32_t Shard::placed() const {
  return static_cast<uint32_t>(std::count_if(
      open.begin(), open.end(), [](const auto& entry) { return !entry.second.machine.empty(); }));
}

std::string WriteShard(const Shard& shard) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("done").StartArray();
  for (const auto& [first, last] : shard.done.ranges()) {
    w.Uint(first);
    w.Uint(last);
  }
  w.EndArray();
  std::map<std::string_view, std::vector<std::pair<uint32_t, uint64_t>>> by_machine;
  for (const auto& [index, task] : shard.open) {
    by_machine[task.machine].emplace_back(index, task.attempt);
  }
  w.Field("on").StartObject();
  for (const auto& [machine, tasks] : by_machine) {
    w.Key(machine.data(), static_cast<rapidjson::SizeType>(machine.size()));
    w.StartArray();
    for (const auto& [index, attempt] : tasks) {
      w.Uint(index);
      if (attempt != 1) w.Int64(-static_cast<int64_t>(attempt));
    }
    w.EndArray();
  }
  w.EndObject();
  w.Field("runs").StartObject();
  for (const auto& [flavor, stats] : shard.runs) {
    w.Key(flavor.c_str());
    w.StartArray();
    w.Uint64(stats.count);
    w.Double(stats.sum_s);
    w.EndArray();
  }
  w.EndObject();
  w.EndObject();
  return w.Take();
}

std::optional<Shard> ReadShard(std::string_view json) {
  auto d = wire::ParseObject(json);
  if (!d) return std::nullopt;
  Shard s;
  const wire::JsonValue* done = wire::Find(*d, "done");
  const wire::JsonValue* on = wire::Find(*d, "on");
  if (done == nullptr || !done->IsArray() || done->Size() % 2 != 0 || on == nullptr ||
      !on->IsObject()) {
    return std::nullopt;
  }
  for (rapidjson::SizeType i = 0; i < done->Size(); i += 2) {
    const auto& first = (*done)[i];
    const auto& last = (*done)[i + 1];
    if (!first.IsUint() || !last.IsUint() || last.GetUint() >= wire::kMaxPieces) {
      return std::nullopt;
    }
    for (uint32_t n = first.GetUint(); n <= last.GetUint(); ++n) s.done.Insert(n);
  }
  for (const auto& m : on->GetObject()) {
    if (!m.value.IsArray()) return std::nullopt;
    const std::string machine(m.name.GetString(), m.name.GetStringLength());
    TaskState* task = nullptr;
    for (const auto& number : m.value.GetArray()) {
      if (number.IsUint()) {
        // A task that stands on two machines would be one that nobody can find again.
        auto [it, fresh] = s.open.try_emplace(number.GetUint());
        if (!fresh || number.GetUint() >= wire::kMaxPieces) return std::nullopt;
        task = &it->second;
        *task = {1, machine};
      } else if (number.IsInt64() && task != nullptr && number.GetInt64() < 0) {
        task->attempt = static_cast<uint64_t>(-(number.GetInt64() + 1)) + 1;
        task = nullptr;
      } else {
        return std::nullopt;
      }
    }
  }
  if (const wire::JsonValue* runs = wire::Find(*d, "runs"); runs != nullptr && runs->IsObject()) {
    for (const auto& m : runs->GetObject()) {
      if (!m.value.IsArray() || m.value.Size() != 2 || !m.value[0].IsUint64() ||
          !m.value[1].IsNumber()) {
        return std::nullopt;
      }
      s.runs[m.name.GetString()] = {m.value[0].GetUint64(), m.value[1].GetDouble()};
    }
  }
  return s;
}

std::string WriteFinal(const FinalRecord& r) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("phase").Text(wire::PhaseName(r.phase));
  w.Field("done").Uint64(r.done);
  w.EndObject();
  return w.Take();
}

std::optional<FinalRecord> ReadFinal(std::string_view json) {
  auto d = wire::ParseObject(json);
  auto name = d ? wire::GetText(*d, "phase") : std::nullopt;
  auto phase = name ? wire::ParsePhase(*name) : std::nullopt;
  if (!phase || (*phase != wire::Phase::kDone && *phase != wire::Phase::kCancelled)) {
    return std::nullopt;
  }
  return FinalRecord{*phase, wire::GetCount(*d, "done").value_or(0)};
}

std::string WriteLeader(const LeaderRecord& r) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("node").Text(r.node);
  w.Field("permit").Uint64(r.permit);
  w.EndObject();
  return w.Take();
}

std::optional<LeaderRecord> ReadLeader(std::string_view json) {
  auto d = wire::ParseObject(json);
  auto node = d ? wire::GetText(*d, "node") : std::nullopt;
  if (!node) return std::nullopt;
  return LeaderRecord{std::move(*node), wire::GetCount(*d, "permit").value_or(0)};
}

std::string WriteBlock(std::string_view holder) {
  wire::JsonWriter w;
  w.StartObject();
  w.Field("holder").Text(holder);
  w.EndObject();
  return w.Take();
}

uint32_t TasksPerShard(double value_kb) {
  return std::max(1u, static_cast<uint32_t>(value_kb * 1024 * kOpenShare / kTaskBytes));
}

}  // namespace hallpier::store
