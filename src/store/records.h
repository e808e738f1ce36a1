// Encodes and decodes the JSON records of jobs, finished jobs, the leader and record formats,
// described in docs/state-schema.md. Pure functions without state.
//
// Records of task groups are in store/task_group.h and store/packed_task_group.h, those of machine
// types in store/machine_type_pages.h. Decoders never throw; they return errors as a DecodeError.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "model/job.h"
#include "store/decode_result.h"
#include "store/task_group_layout.h"

namespace hallpier::store {

// An unfinished job. Optional fields that are not set are not written, so that a record without any
// of them is byte for byte what versions without job dependencies write.
struct JobRecord {
  model::JobSpec spec;
  double submitted_at = 0;  // time of day in seconds
  bool cancelled = false;   // optional
  // Optional; 0 if the job has the default layout, which the format record specifies.
  uint32_t tasks_per_group = 0;
};
std::string WriteJob(const JobRecord& job);
// Encodes the record of a cancelled job in at most `value_bytes` if possible. If the record is too
// large, it omits fields that only a job that may still run needs. This allows a cancellation to be
// recorded even if the limits were lowered below the size of the record.
std::string WriteCancelledJob(JobRecord job, size_t value_bytes);
DecodeResult<JobRecord> ReadJob(std::string_view json);

// How a job ended.
struct FinalRecord {
  model::JobPhase phase = model::JobPhase::kDone;  // kDone or kCancelled
  uint64_t done = 0;                               // number of done tasks
  double recorded_at = 0;                          // time of day in seconds; 0 if unknown
};
std::string WriteFinal(const FinalRecord& record);
DecodeResult<FinalRecord> ReadFinal(std::string_view json);

// The current leader.
struct LeaderRecord {
  std::string node;
  uint64_t lease_id = 0;  // the lease to which the record is attached
};
std::string WriteLeader(const LeaderRecord& record);
DecodeResult<LeaderRecord> ReadLeader(std::string_view json);
// Only the version of this record matters; the holder is informational, for operators.
std::string WriteFencingTokenRecord(std::string_view holder);

// Formats are numbered. Each node records the highest number that it supports (its "node format").
// Once all nodes in the settings support kRecordFormat, this fact is recorded for the whole service
// (the "format record", see store/record_formats.h).

// The newest record format that this version reads and writes.
inline constexpr uint64_t kRecordFormat = 2;
// Higher numbers indicate support for further features; the records covered by kRecordFormat do not
// change. From this format on, a node also supports cancellation reports between nodes
// (wire/peer_messages.h).
inline constexpr uint64_t kCancellationReportFormat = 3;
// From this format on, a node also supports membership messages between nodes.
inline constexpr uint64_t kMembershipFormat = 4;
// From this format on, a node also supports the records of blocks and allocations, and has blocks
// enabled.
inline constexpr uint64_t kBlocksFormat = 5;

struct FormatRecord {
  uint64_t format = kRecordFormat;
  TaskGroupLayout layout;  // of jobs whose records specify no group size
};
std::string WriteFormat(const FormatRecord& record);
DecodeResult<FormatRecord> ReadFormat(std::string_view json);

std::string WriteNodeFormat(uint64_t format);
DecodeResult<uint64_t> ReadNodeFormat(std::string_view json);

}  // namespace hallpier::store
