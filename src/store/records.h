// The records of jobs, of their ends, of the leader and of record formats, as JSON texts.
// docs/state-schema.md describes them. Pure functions, no state.
//
// The records of task groups are in store/task_group.h and store/packed_task_group.h, those of
// machine types in store/machine_type_pages.h. Decoders never throw; what is wrong with a record is
// returned as a DecodeError.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "model/job.h"
#include "store/decode_result.h"
#include "store/task_group_layout.h"

namespace hallpier::store {

// An unfinished job. Optional fields that are not set are not written: a record without any of them
// is, byte for byte, what versions without job dependencies write.
struct JobRecord {
  model::JobSpec spec;
  double submitted_at = 0;  // time of day, in seconds
  bool cancelled = false;   // optional
  // Tasks in a task group; optional; 0: as the format record says for all such jobs.
  uint32_t tasks_per_group = 0;
};
std::string WriteJob(const JobRecord& job);
// The record of a cancelled job in at most `value_bytes`, if that can be had: where the record is
// too large, fields are left out that only a job that may still run needs. It must be possible to
// record a cancellation even if the limits have become lower than the record is large.
std::string WriteCancelledJob(JobRecord job, size_t value_bytes);
DecodeResult<JobRecord> ReadJob(std::string_view json);

// How a job ended.
struct FinalRecord {
  model::JobPhase phase = model::JobPhase::kDone;  // kDone or kCancelled
  uint64_t done = 0;                               // tasks
  double recorded_at = 0;  // time of day when it was recorded, in seconds; 0: not known
};
std::string WriteFinal(const FinalRecord& record);
DecodeResult<FinalRecord> ReadFinal(std::string_view json);

// Who leads.
struct LeaderRecord {
  std::string node;
  uint64_t lease_id = 0;  // the lease to which the record is attached
};
std::string WriteLeader(const LeaderRecord& record);
DecodeResult<LeaderRecord> ReadLeader(std::string_view json);
// Only the version of this record matters; the holder is there for people who read it.
std::string WriteFencingTokenRecord(std::string_view holder);

// Formats are numbered. Each node records the newest number that it understands ("node format").
// Once all nodes of the settings understand kRecordFormat, that is recorded for the whole service
// ("format record"; store/record_formats.h).

// The newest format of records that this version reads and writes.
inline constexpr uint64_t kRecordFormat = 2;
// Higher numbers stand for more than records; the records themselves stay those of kRecordFormat.
// From this one on a node also understands cancellation reports between nodes (wire/peer.h),
inline constexpr uint64_t kCancellationReportFormat = 3;
// from this one on also what nodes say of each other's membership,
inline constexpr uint64_t kMembershipFormat = 4;
// and from this one on also the records of blocks and shares; blocks are switched on there.
inline constexpr uint64_t kBlocksFormat = 5;

struct FormatRecord {
  uint64_t format = kRecordFormat;
  TaskGroupLayout layout;  // of jobs whose records name no group size
};
std::string WriteFormat(const FormatRecord& record);
DecodeResult<FormatRecord> ReadFormat(std::string_view json);

std::string WriteNodeFormat(uint64_t format);
DecodeResult<uint64_t> ReadNodeFormat(std::string_view json);

}  // namespace hallpier::store
