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

// What counts as lent: nothing of an earlier grant does.
const AmountByTeam& Lent(const AllocationRecord& allocation, uint64_t allocation_epoch) {
  static const AmountByTeam kNothing;
  return allocation.allocation_epoch == allocation_epoch ? allocation.allocated : kNothing;
}

// The new amounts of one kind of resource, in the order of the holders.
std::vector<double> Divide(double Amount::*kind, double limit, const std::string& team,
                           const TeamUsage& figures, const std::vector<OwnerAccount>& holders) {
  std::vector<OwnerAmounts> positions;
  positions.reserve(holders.size());
  for (const OwnerAccount& holder : holders) {
    positions.push_back(
        {.allocated = AmountOf(Lent(holder.allocation, holder.allocation_epoch), team).*kind,
         .placed = AmountOf(holder.placed, team).*kind,
         .planned = AmountOf(holder.planned, team).*kind,
         .reserved_for_others = AmountOf(holder.reserved_for_others, team).*kind});
  }
  return TeamAccount(limit, AmountOf(figures.unowned, team).*kind, std::move(positions),
                     AmountOf(figures.least, team).*kind)
      .Rebalance();
}

void TakeKind(double Amount::*kind, double limit, const std::string& team, const TeamUsage& figures,
              const std::vector<OwnerAccount>& holders, std::vector<AllocationChange>* changes) {
  if (limit <= 0) return;  // none
  const std::vector<double> allocated = Divide(kind, limit, team, figures, holders);
  for (size_t i = 0; i < allocated.size(); ++i)
    (*changes)[i].record.allocated[team].*kind = allocated[i];
}

bool SameAmounts(const AmountByTeam& a, const AmountByTeam& b) {
  auto within = [](const AmountByTeam& all, const AmountByTeam& other) {
    return std::all_of(all.begin(), all.end(), [&](const auto& entry) {
      const Amount difference = entry.second - AmountOf(other, entry.first);
      return std::abs(difference.cpus) <= kTolerance && std::abs(difference.gpus) <= kTolerance;
    });
  };
  return within(a, b) && within(b, a);
}

double Left(double limit, double allocated, double placed) {
  return limit > 0 ? allocated - placed : kUnlimited;
}

}  // namespace

std::vector<AllocationChange> PlanAllocationChanges(const std::vector<config::Team>& teams,
                                                    const TeamUsage& figures,
                                                    const std::vector<OwnerAccount>& holders,
                                                    size_t value_bytes) {
  std::vector<AllocationChange> changes;
  changes.reserve(holders.size());
  for (const OwnerAccount& holder : holders) {
    changes.push_back({holder.node, {holder.allocation_epoch, {}}});
  }
  for (const config::Team& team : teams) {
    TakeKind(&Amount::cpus, team.cpus_max, team.name, figures, holders, &changes);
    TakeKind(&Amount::gpus, team.gpus_max, team.name, figures, holders, &changes);
  }
  std::vector<AllocationChange> out;
  for (size_t i = 0; i < holders.size(); ++i) {
    AllocationRecord record = TrimToSize(std::move(changes[i].record), value_bytes);
    if (SameAmounts(record.allocated, Lent(holders[i].allocation, holders[i].allocation_epoch)))
      continue;
    out.push_back({holders[i].node, std::move(record)});
  }
  return out;
}

Amount RemainingQuota(const config::Team& team, const AllocationRecord& allocation,
                      uint64_t allocation_epoch, const AmountByTeam& placed) {
  const Amount allocated = AmountOf(Lent(allocation, allocation_epoch), team.name);
  const Amount used = AmountOf(placed, team.name);
  return {Left(team.cpus_max, allocated.cpus, used.cpus),
          Left(team.gpus_max, allocated.gpus, used.gpus)};
}

}  // namespace hallpier::quota
