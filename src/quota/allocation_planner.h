// Decides what each holder is lent of every team's limit. Does no I/O.
//
// The caller writes the changes under guards on all share records and on the division of the
// blocks, so that whatever it did not know of makes the write fail. What it knows must be at least
// as new as all of these records: what was placed before a share shrank must be counted.
#pragma once

#include <string>
#include <vector>

#include "config/settings.h"
#include "quota/allocation_record.h"

namespace hallpier::quota {

// One holder as the leader knows it.
struct OwnerAccount {
  std::string node;
  uint64_t allocation_epoch = 0;  // of its block
  AllocationRecord allocation;    // as recorded; of another grant: nothing is lent
  AmountByTeam placed;
  AmountByTeam planned;
  AmountByTeam reserved_for_others;
};

struct AllocationChange {
  std::string node;
  AllocationRecord record;
  bool operator==(const AllocationChange&) const = default;
};

// What is known of the teams beside their holders' accounts.
struct TeamUsage {
  AmountByTeam unowned;  // recorded on machines of no holder
  AmountByTeam least;    // that a task of the team takes; a team not named has none
};

// The share records that are to be written now; none: all is as it should be. `value_bytes`: the
// largest value that the state service takes.
std::vector<AllocationChange> PlanAllocationChanges(const std::vector<config::Team>& teams,
                                                    const TeamUsage& figures,
                                                    const std::vector<OwnerAccount>& holders,
                                                    size_t value_bytes);

// What a holder may still place of a team's limit. Unlimited kinds are infinite.
Amount RemainingQuota(const config::Team& team, const AllocationRecord& allocation,
                      uint64_t allocation_epoch, const AmountByTeam& placed);

}  // namespace hallpier::quota
