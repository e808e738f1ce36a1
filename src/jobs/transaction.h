// Transactions of a round, and the limits that they have to keep. Plain data.
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
  WritePriority priority = WritePriority::kTaskEnd;  // the highest of what it holds
  std::vector<std::string> machines;                 // that get a new placement by it
};

struct TransactionLimits {
  int max_writes = 0;  // in a transaction
  // Of every transaction. The first is the leader's fencing token: a node whose token is not the
  // newest fails here.
  std::vector<model::Precondition> preconditions;
  size_t max_value_bytes = 0;  // of the largest value; 0: no limit
  // Ends of tasks that have been known for this long (seconds) no longer wait behind placements.
  double task_end_max_wait_s = 0;
  // Every node reads the newer record formats: task groups are written in the packed form, and
  // final records hold the time at which the job ended.
  bool packed_groups = false;
  double time_of_day = 0;  // now, in seconds since the Unix epoch
  // Keys whose writes share a transaction with no others, since a transaction that held them was
  // refused. Null: none. Owned by the caller.
  const std::set<std::string>* isolated_keys = nullptr;
  // Only placements are built. Ends, and the removal of keys that nothing needs, are the leader's.
  bool placements_only = false;
  // Other nodes place tasks at the same time. Where the zones of a job's tasks depend on each
  // other, a placement then rewrites the job's record as well, so that of two concurrent
  // placements only one can be carried out.
  bool concurrent_placement = false;
};

// The version of a key in the local copy of the state; 0 if there is no such key.
using VersionLookup = std::function<uint64_t(const std::string& key)>;

}  // namespace hallpier::jobs
