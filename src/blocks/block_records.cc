#include "blocks/block_records.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "quota/allocation_planner.h"
#include "quota/usage.h"
#include "store/keys.h"

namespace hallpier::blocks {

void BlockRecords::SetBlockAssignment(const std::string& value, uint64_t version) {
  std::optional<BlockAssignmentRecord> record =
      value.empty() ? BlockAssignmentRecord() : ReadBlockAssignment(value);
  if (!record) spdlog::error("state: the division of blocks can't be read; nobody places by it");
  division_ = BlockAssignment(record.value_or(BlockAssignmentRecord()));
  division_version_ = value.empty() ? 0 : version;
  newest_ = std::max(newest_, version);
}

void BlockRecords::SetAllocation(const std::string& node, const std::string& value,
                                 uint64_t version) {
  std::optional<quota::AllocationRecord> record =
      value.empty() ? quota::AllocationRecord() : quota::ReadAllocation(value);
  if (!record) spdlog::error("state: the share of {} can't be read; nothing is lent to it", node);
  Share& share = shares_[node];
  share.record = record.value_or(quota::AllocationRecord());
  share.version = value.empty() ? 0 : version;
  newest_ = std::max(newest_, version);
}

const quota::AllocationRecord& BlockRecords::AllocationOf(const std::string& node) const {
  static const quota::AllocationRecord kNone;
  auto it = shares_.find(node);
  return it == shares_.end() ? kNone : it->second.record;
}

uint64_t BlockRecords::ShareVersion(const std::string& node) const {
  auto it = shares_.find(node);
  return it == shares_.end() ? 0 : it->second.version;
}

std::vector<model::Precondition> BlockRecords::AllPreconditions() const {
  std::vector<model::Precondition> preconditions = {{store::DivisionKey(), division_version_}};
  for (const BlockOwner& holder : division_.record().owners) {
    preconditions.push_back({store::ShareKey(holder.node), ShareVersion(holder.node)});
  }
  return preconditions;
}

std::optional<size_t> BlockRecords::ActiveOwnerIndex(const std::string& node, uint64_t session,
                                                     const CacheState& copy) const {
  const std::optional<size_t> holder = division_.IndexOf(node);
  if (!holder) return std::nullopt;
  const BlockAssignmentRecord& record = division_.record();
  // Another process of this name was granted the block: its placements may still be under way.
  if (record.holders[*holder].session != session) return std::nullopt;
  // A leader that has not confirmed the division, or knows no blocks, may place anything.
  if (record.token != copy.token) return std::nullopt;
  // What former holders placed on these machines is in a copy that has passed the division. What
  // was placed since is this process's own, whatever its share is by now.
  if (copy.revision < division_version_) return std::nullopt;
  return holder;
}

std::vector<model::Precondition> BlockRecords::PlacementPreconditions(size_t holder) const {
  const BlockAssignmentRecord& record = division_.record();
  const std::string& node = record.holders.at(holder).node;
  return {store::FencingTokenPrecondition(record.token),
          {store::DivisionKey(), division_version_},
          {store::ShareKey(node), ShareVersion(node)}};
}

plan::PlacementScope BlockRecords::AllMachinesScope(double widen_s, double wall_now) const {
  plan::PlacementScope scope;
  scope.holder_count = division_.record().owners.size();
  scope.holder_of = [this](const std::string& machine) { return division_.OwnerOf(machine); };
  scope.may_place = [this, widen_s, wall_now](size_t holder, const jobs::Job& job) {
    return division_.MayPlace(holder, job.spec, job.priority, wall_now - job.runnable_since,
                              widen_s);
  };
  return scope;
}

plan::PlacementScope BlockRecords::OwnerScope(size_t holder, double widen_s, double wall_now,
                                              const config::Settings& settings,
                                              const jobs::JobTable& job_table) const {
  plan::PlacementScope scope = AllMachinesScope(widen_s, wall_now);
  scope.single_holder = holder;
  const BlockOwner& self = division_.record().owners.at(holder);
  const quota::Usage usage = quota::CountPlaced(job_table, scope.holder_count, scope.holder_of);
  for (const config::Team& team : settings.teams) {
    const quota::Amount left = quota::RemainingQuota(team, AllocationOf(self.node),
                                                     self.allocation_epoch, usage.by_owner[holder]);
    scope.team_allowances[team.name] = {left.cpus, left.gpus, 0};
  }
  return scope;
}

}  // namespace hallpier::blocks
