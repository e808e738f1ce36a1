// The record of the quota that one owner is allocated from each team's limit, and its text form in
// the state service.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "quota/amount.h"

namespace hallpier::quota {

// A team that is not listed has an amount of zero.
using AmountByTeam = std::map<std::string, Amount>;

struct AllocationRecord {
  // The epoch of the owner's block (blocks/block_assignment.h) that the allocation belongs to. It
  // is void in any other epoch.
  uint64_t allocation_epoch = 0;
  AmountByTeam allocated;
  bool operator==(const AllocationRecord&) const = default;
};

std::string WriteAllocation(const AllocationRecord& record);
// Returns std::nullopt if the text is malformed; callers then treat the allocation as empty.
std::optional<AllocationRecord> ReadAllocation(std::string_view json);

// Removes the smallest amounts until the record fits into `max_value_bytes`. It is safe if an owner
// has less quota than it could use, but a record that the state service refuses would hold up the
// records of all other owners.
AllocationRecord TrimToSize(AllocationRecord record, size_t max_value_bytes);

}  // namespace hallpier::quota
