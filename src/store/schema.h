// Keys and records that hallpier keeps on the state service. docs/state-schema.md describes them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "model/ids.h"
#include "model/job.h"
#include "model/key_value.h"
#include "store/task_group.h"

namespace hallpier::store {

// Everything that every node follows; what is final lies outside, so that it costs nobody memory.
inline constexpr std::string_view kActive = "hallpier/a/";

std::string LeaderKey();
// The record that every new leader rewrites: its version is the fencing token.
std::string FencingTokenKey();
// Holds for as long as nobody has a higher token.
model::Precondition TokenPrecondition(model::FencingToken token);
std::string MachineTypesKey(uint32_t page = 0);
std::string JobKey(std::string_view id);
std::string TaskGroupKey(std::string_view id, uint32_t task_group);
std::string TaskGroupPartKey(std::string_view id, uint32_t task_group, uint32_t part);
std::string FinalKey(std::string_view id);
std::string FormatKey();
std::string NodeFormatKey(std::string_view node);
std::string MemberKey(std::string_view node);
// How machines are divided among controllers (blocks/division.h).
std::string DivisionKey();
// What a holder of a block is lent of the teams' limits (quota/share_record.h).
std::string ShareKey(std::string_view node);

enum class KeyKind {
  kLeader,
  kFencingToken,
  kMachineTypes,
  kFormat,
  kNodeFormat,
  kMember,
  kDivision,
  kShare,
  kJob,
  kTaskGroup,
  kFinal,
  kOther
};
struct ParsedKey {
  KeyKind kind = KeyKind::kOther;
  std::string job;               // kNodeFormat, kMember, kShare: the node
  uint32_t task_group = 0;       // kFlavors: the page
  std::optional<uint32_t> part;  // of the shard; nothing: the whole
};
ParsedKey ParseKey(std::string_view key);

// A field that is not set is not written: a record without any of the newer ones is, byte for byte,
// what versions without pipelines write.
struct JobRecord {
  model::JobSpec spec;
  double submitted = 0;  // time of day
  bool cancelled = false;
  uint32_t group = 0;  // tasks in a group; 0: as the format record says, for all such jobs
};
std::string WriteJob(const JobRecord& job);
// The record of a job that is cancelled, within `value_bytes`: what only a job that may yet run
// needs is left out where there is no room for it. A cancellation must be recordable whatever the
// limits have become since.
std::string WriteCancelled(JobRecord job, size_t value_bytes);
std::optional<JobRecord> ReadJob(std::string_view json);

struct FinalRecord {
  model::JobPhase phase = model::JobPhase::kDone;
  uint64_t done = 0;
  double at = 0;  // time of day when it was recorded; 0: not known
};
std::string WriteFinal(const FinalRecord& r);
std::optional<FinalRecord> ReadFinal(std::string_view json);

struct LeaderRecord {
  std::string node;
  uint64_t lease_id = 0;
};
std::string WriteLeader(const LeaderRecord& r);
std::optional<LeaderRecord> ReadLeader(std::string_view json);
std::string WriteFencingTokenRecord(std::string_view holder);

// The newest format that this version reads and writes, as nodes record it for themselves and, once
// all have, for the whole service.
inline constexpr uint64_t kFormat = 2;
struct FormatRecord {
  uint64_t format = kFormat;
  // Of jobs whose record names no group size.
  Layout layout;
};
std::string WriteFormat(const FormatRecord& r);
std::optional<FormatRecord> ReadFormat(std::string_view json);
// A node's mark from this number on says that it understands cancellation reports between nodes as
// well (wire/peer.h). Records stay of kFormat.
inline constexpr uint64_t kCancellationReportFormat = 3;
// From this number on it also understands what nodes say of each other's membership.
inline constexpr uint64_t kMembershipFormat = 4;
// From this number on it reads the records of blocks and shares, and blocks are on there.
inline constexpr uint64_t kBlocksFormat = 5;
std::string WriteNodeFormat(uint64_t format);
// The format that a node's mark names; 0 if it can't be read.
uint64_t ReadNodeFormat(std::string_view json);

}  // namespace hallpier::store
