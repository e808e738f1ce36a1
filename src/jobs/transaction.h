// The transactions of a round and the limits that they must stay within. Plain data.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "jobs/write_priority.h"
#include "model/key_value.h"

namespace hallpier::jobs {

struct Transaction {
  std::vector<model::Precondition> preconditions;
  std::vector<model::KeyWrite> writes;
  WritePriority priority = WritePriority::kTaskEnd;  // the highest of its writes
  std::vector<std::string> machines;                 // machines that get a new placement
};

struct TransactionLimits {
  int max_writes = 0;  // per transaction
  // Preconditions of every transaction. The first is the leader's fencing token: it fails if the
  // node that sends the transaction does not have the newest token.
  std::vector<model::Precondition> preconditions;
  size_t max_value_bytes = 0;  // per value; 0 if there is no limit
  // Task ends that have been known for this long are ranked with placements instead of last.
  double task_end_max_wait_s = 0;
  // True if every node reads the newer record formats: task groups are written in the packed form,
  // and final records contain the time at which the job ended.
  bool packed_groups = false;
  double time_of_day = 0;  // current time in seconds since the Unix epoch
  // Keys of a transaction that was rejected. A write unit whose first write is to one of them
  // shares a transaction with no other unit. nullptr if there are none. Owned by the caller.
  const std::set<std::string>* isolated_keys = nullptr;
  // True if only placements are built. Only the leader records ends and deletes obsolete keys.
  bool placements_only = false;
  // True if other nodes place tasks at the same time. If the zones of a job's tasks depend on each
  // other, a placement then rewrites the job record as well, so that only one of two concurrent
  // placements can be committed.
  bool concurrent_placement = false;
};

// Returns the version of a key in the watch cache; 0 if the key does not exist.
using VersionLookup = std::function<uint64_t(const std::string& key)>;

}  // namespace hallpier::jobs
