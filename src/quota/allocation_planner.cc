#include "quota/allocation_planner.h"

#include <limits>

#include "quota/team_account.h"

namespace hallpier::quota {
namespace {

constexpr double kUnlimited = std::numeric_limits<double>::infinity();

Amount AmountOf(const AmountByTeam& amounts, const std::string& team) {
  auto it = amounts.find(team);
  return it == amounts.end() ? Amount() : it->second;
}

// Returns the allocated amounts; empty if the allocation belongs to another epoch.
const AmountByTeam& AllocatedInEpoch(const AllocationRecord& allocation,
                                     uint64_t allocation_epoch) {
  static const AmountByTeam kNoAmounts;
  return allocation.allocation_epoch == allocation_epoch ? allocation.allocated : kNoAmounts;
}

// Returns the new allocations of one kind of resource, in the order of the owners.
std::vector<double> RebalanceKind(double Amount::*kind, double limit, const std::string& team,
                                  const TeamUsage& usage, const std::vector<OwnerAccount>& owners) {
  std::vector<OwnerAmounts> owner_amounts;
  owner_amounts.reserve(owners.size());
  for (const OwnerAccount& owner : owners) {
    owner_amounts.push_back(
        {.allocated =
             AmountOf(AllocatedInEpoch(owner.allocation, owner.allocation_epoch), team).*kind,
         .placed = AmountOf(owner.placed, team).*kind,
         .planned = AmountOf(owner.planned, team).*kind,
         .reserved_for_others = AmountOf(owner.reserved_for_others, team).*kind});
  }
  return TeamAccount(limit, AmountOf(usage.unowned, team).*kind, std::move(owner_amounts),
                     AmountOf(usage.smallest_task, team).*kind)
      .Rebalance();
}

void AllocateKind(double Amount::*kind, double limit, const std::string& team,
                  const TeamUsage& usage, const std::vector<OwnerAccount>& owners,
                  std::vector<AllocationChange>* changes) {
  if (limit <= 0) return;  // the team has no limit
  const std::vector<double> allocated = RebalanceKind(kind, limit, team, usage, owners);
  for (size_t i = 0; i < allocated.size(); ++i)
    (*changes)[i].record.allocated[team].*kind = allocated[i];
}

bool SameAmounts(const AmountByTeam& a, const AmountByTeam& b) {
  auto matches = [](const AmountByTeam& all, const AmountByTeam& other) {
    return std::all_of(all.begin(), all.end(), [&](const auto& entry) {
      const Amount difference = entry.second - AmountOf(other, entry.first);
      return std::abs(difference.cpus) <= kTolerance && std::abs(difference.gpus) <= kTolerance;
    });
  };
  return matches(a, b) && matches(b, a);
}

double Remaining(double limit, double allocated, double placed) {
  return limit > 0 ? allocated - placed : kUnlimited;
}

}  // namespace

std::vector<AllocationChange> PlanAllocationChanges(const std::vector<config::Team>& teams,
                                                    const TeamUsage& usage,
                                                    const std::vector<OwnerAccount>& owners,
                                                    size_t max_value_bytes) {
  std::vector<AllocationChange> changes;
  changes.reserve(owners.size());
  for (const OwnerAccount& owner : owners) {
    changes.push_back({owner.node, {owner.allocation_epoch, {}}});
  }
  for (const config::Team& team : teams) {
    AllocateKind(&Amount::cpus, team.cpus_max, team.name, usage, owners, &changes);
    AllocateKind(&Amount::gpus, team.gpus_max, team.name, usage, owners, &changes);
  }
  std::vector<AllocationChange> out;
  for (size_t i = 0; i < owners.size(); ++i) {
    AllocationRecord record = TrimToSize(std::move(changes[i].record), max_value_bytes);
    if (SameAmounts(record.allocated,
                    AllocatedInEpoch(owners[i].allocation, owners[i].allocation_epoch)))
      continue;
    out.push_back({owners[i].node, std::move(record)});
  }
  return out;
}

Amount RemainingQuota(const config::Team& team, const AllocationRecord& allocation,
                      uint64_t allocation_epoch, const AmountByTeam& placed) {
  const Amount allocated = AmountOf(AllocatedInEpoch(allocation, allocation_epoch), team.name);
  const Amount used = AmountOf(placed, team.name);
  return {Remaining(team.cpus_max, allocated.cpus, used.cpus),
          Remaining(team.gpus_max, allocated.gpus, used.gpus)};
}

}  // namespace hallpier::quota
