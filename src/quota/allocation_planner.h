// Allocates each team's limit to the owners of blocks. Does no I/O.
//
// The caller writes the changes with preconditions on all allocation records and on the block
// assignment, so that the write fails if there is any change that the caller has not seen. The
// placements that the caller counts must be at least as new as all of these records: everything
// that was placed before an allocation shrank must be counted.
#pragma once

#include <string>
#include <vector>

#include "config/settings.h"
#include "quota/allocation_record.h"

namespace hallpier::quota {

// One owner's quota as the leader knows it.
struct OwnerAccount {
  std::string node;
  uint64_t allocation_epoch = 0;  // current epoch of the owner's block
  AllocationRecord allocation;    // as recorded; void if of another epoch
  AmountByTeam placed;
  AmountByTeam planned;
  AmountByTeam reserved_for_others;
};

struct AllocationChange {
  std::string node;
  AllocationRecord record;
  bool operator==(const AllocationChange&) const = default;
};

// Amounts by team that belong to no owner's account.
struct TeamUsage {
  AmountByTeam unowned;        // placed on machines without an owner
  AmountByTeam smallest_task;  // smallest amount that a task of the team takes; 0 if not known
};

// Returns the allocation records that have to be written; empty if all are up to date.
// `max_value_bytes`: the state service's limit on the size of a value.
std::vector<AllocationChange> PlanAllocationChanges(const std::vector<config::Team>& teams,
                                                    const TeamUsage& usage,
                                                    const std::vector<OwnerAccount>& owners,
                                                    size_t max_value_bytes);

// Returns how much of its allocation for a team an owner may still place; infinite for resources
// without a limit.
Amount RemainingQuota(const config::Team& team, const AllocationRecord& allocation,
                      uint64_t allocation_epoch, const AmountByTeam& placed);

}  // namespace hallpier::quota
