// What is lent to one holder of each team's limit, as the state service keeps it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "quota/amount.h"

namespace hallpier::quota {

// A team that is not named has nothing lent.
using AmountByTeam = std::map<std::string, Amount>;

struct AllocationRecord {
  // The grant of a block (blocks/block_assignment.h) that it belongs to; with any other nothing is
  // lent.
  uint64_t allocation_epoch = 0;
  AmountByTeam allocated;
  bool operator==(const AllocationRecord&) const = default;
};

std::string WriteAllocation(const AllocationRecord& record);
// Nothing if it can't be read: then nothing is lent.
std::optional<AllocationRecord> ReadAllocation(std::string_view json);

// Leaves out the smallest amounts until the record fits `value_bytes`: a holder with less than it
// could use is safe, a record that is refused holds up all others.
AllocationRecord TrimToSize(AllocationRecord record, size_t value_bytes);

}  // namespace hallpier::quota
