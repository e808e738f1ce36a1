// Keys and records that hallpier keeps on the state service. docs/state-schema.md describes them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/messages.h"

namespace hallpier::store {

// Everything that every node follows; what is final lies outside, so that it costs nobody memory.
inline constexpr std::string_view kActive = "hallpier/a/";

std::string LeaderKey();
std::string BlockKey(int block);
std::string FlavorsKey();
std::string JobKey(std::string_view id);
std::string ShardKey(std::string_view id, uint32_t shard);
std::string FinalKey(std::string_view id);

enum class KeyKind { kLeader, kBlock, kFlavors, kJob, kShard, kOther };
struct ParsedKey {
  KeyKind kind = KeyKind::kOther;
  std::string job;
  uint32_t shard = 0;
};
ParsedKey ParseKey(std::string_view key);

// A set of task numbers, kept as ranges.
class IndexSet {
 public:
  bool Contains(uint32_t i) const;
  void Insert(uint32_t i);
  uint32_t size() const { return size_; }
  // first -> last, both included
  const std::map<uint32_t, uint32_t>& ranges() const { return ranges_; }

 private:
  std::map<uint32_t, uint32_t> ranges_;
  uint32_t size_ = 0;
};

struct JobRecord {
  wire::JobSpec spec;
  double submitted = 0;  // time of day
  bool cancelled = false;
};
std::string WriteJob(const JobRecord& job);
std::optional<JobRecord> ReadJob(std::string_view json);

struct TaskState {
  uint64_t attempt = 0;  // the newest that was ever recorded
  std::string machine;   // empty: waiting
  bool operator==(const TaskState&) const = default;
};

struct RunStats {
  uint64_t count = 0;
  double sum_s = 0;
};

// Many tasks of a job in one value. Tasks that are neither done nor open were never placed.
struct Shard {
  IndexSet done;
  std::map<uint32_t, TaskState> open;
  std::map<std::string, RunStats> runs;  // by machine type
  uint32_t placed() const;
};
std::string WriteShard(const Shard& shard);
std::optional<Shard> ReadShard(std::string_view json);

struct FinalRecord {
  wire::Phase phase = wire::Phase::kDone;
  uint64_t done = 0;
};
std::string WriteFinal(const FinalRecord& r);
std::optional<FinalRecord> ReadFinal(std::string_view json);

struct LeaderRecord {
  std::string node;
  uint64_t permit = 0;
};
std::string WriteLeader(const LeaderRecord& r);
std::optional<LeaderRecord> ReadLeader(std::string_view json);
std::string WriteBlock(std::string_view holder);

// How many tasks share a value, so that with names of usual length the largest record stays within
// `value_kb`. Where names are longer, placements that no longer fit wait (jobs::BuildTxns).
uint32_t TasksPerShard(double value_kb);

}  // namespace hallpier::store
