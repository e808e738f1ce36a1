// The block assignment and the quota allocations as a node's watch cache has them, and what they
// allow an owner to place. Does no I/O.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "blocks/block_assignment.h"
#include "config/settings.h"
#include "jobs/job_table.h"
#include "model/ids.h"
#include "model/key_value.h"
#include "plan/round.h"
#include "quota/allocation_record.h"

namespace hallpier::blocks {

// Progress of a node's watch cache.
struct CacheState {
  uint64_t revision = 0;      // the cache contains all writes up to this revision
  model::FencingToken token;  // version of the leader's token record in the cache
};

class BlockRecords {
 public:
  // Apply a changed record; an empty value means that it was deleted. An unreadable record is
  // logged once and treated as empty until the leader rewrites it: an empty assignment has no
  // owners, an empty allocation has no quota.
  void SetBlockAssignment(const std::string& value, uint64_t version);
  void SetAllocation(const std::string& node, const std::string& value, uint64_t version);

  const BlockAssignment& block_assignment() const { return assignment_; }
  uint64_t block_assignment_version() const { return assignment_version_; }
  // Returns an empty allocation if the node has no record.
  const quota::AllocationRecord& AllocationOf(const std::string& node) const;
  // Returns the revision of the newest change to any of these records. A cache may be used to count
  // the placements made under them only if it has reached this revision: it then contains all
  // placements from before the change.
  uint64_t newest_revision() const { return newest_revision_; }
  // Returns preconditions on the block assignment and on all owners' allocations.
  std::vector<model::Precondition> AllPreconditions() const;

  // Returns the index of a process among the owners; std::nullopt if it owns no block, or may not
  // use its block with these records and this state of its cache.
  std::optional<size_t> ActiveOwnerIndex(const std::string& node, uint64_t session,
                                         const CacheState& cache) const;
  // Returns the preconditions that every placement of an owner needs, the leader's token first.
  std::vector<model::Precondition> PlacementPreconditions(size_t owner) const;

  // Returns the scope of the leader's round over all machines. `widen_interval_s`: see
  // BlockAssignment::MayPlace. `time_of_day`: wall-clock time in seconds since the Unix epoch, as
  // in the timestamps of jobs.
  plan::PlacementScope AllMachinesScope(double widen_interval_s, double time_of_day) const;
  // Returns the scope of one owner's round over its block.
  plan::PlacementScope OwnerScope(size_t owner, double widen_interval_s, double time_of_day,
                                  const config::Settings& settings,
                                  const jobs::JobTable& job_table) const;

 private:
  uint64_t AllocationVersion(const std::string& node) const;

  struct Allocation {
    quota::AllocationRecord record;
    uint64_t version = 0;
  };
  BlockAssignment assignment_;
  uint64_t assignment_version_ = 0;
  std::map<std::string, Allocation> allocations_;  // by node
  uint64_t newest_revision_ = 0;
};

}  // namespace hallpier::blocks
