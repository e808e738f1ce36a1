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
  if (!record)
    spdlog::error("state: block assignment record unreadable, treated as having no owners");
  assignment_ = BlockAssignment(record.value_or(BlockAssignmentRecord()));
  assignment_version_ = value.empty() ? 0 : version;
  newest_revision_ = std::max(newest_revision_, version);
}

void BlockRecords::SetAllocation(const std::string& node, const std::string& value,
                                 uint64_t version) {
  std::optional<quota::AllocationRecord> record =
      value.empty() ? quota::AllocationRecord() : quota::ReadAllocation(value);
  if (!record)
    spdlog::error("state: quota allocation record unreadable, treated as empty: node={}", node);
  Allocation& allocation = allocations_[node];
  allocation.record = record.value_or(quota::AllocationRecord());
  allocation.version = value.empty() ? 0 : version;
  newest_revision_ = std::max(newest_revision_, version);
}

const quota::AllocationRecord& BlockRecords::AllocationOf(const std::string& node) const {
  static const quota::AllocationRecord kEmptyAllocation;
  auto it = allocations_.find(node);
  return it == allocations_.end() ? kEmptyAllocation : it->second.record;
}

uint64_t BlockRecords::AllocationVersion(const std::string& node) const {
  auto it = allocations_.find(node);
  return it == allocations_.end() ? 0 : it->second.version;
}

std::vector<model::Precondition> BlockRecords::AllPreconditions() const {
  std::vector<model::Precondition> preconditions = {
      {store::BlockAssignmentKey(), assignment_version_}};
  for (const BlockOwner& owner : assignment_.record().owners) {
    preconditions.push_back({store::AllocationKey(owner.node), AllocationVersion(owner.node)});
  }
  return preconditions;
}

std::optional<size_t> BlockRecords::ActiveOwnerIndex(const std::string& node, uint64_t session,
                                                     const CacheState& cache) const {
  const std::optional<size_t> owner = assignment_.IndexOf(node);
  if (!owner) return std::nullopt;
  const BlockAssignmentRecord& record = assignment_.record();
  // The block was assigned to another process of this name, whose placements may still be in
  // flight.
  if (record.owners[*owner].session != session) return std::nullopt;
  // The current leader has not confirmed the assignment, or its version lacks blocks. It may place
  // tasks on any machine.
  if (record.token != cache.token) return std::nullopt;
  // A cache that has reached the assignment's version contains all that former owners placed on
  // these machines. All placements since then were made by this process, whatever its allocation is
  // by now.
  if (cache.revision < assignment_version_) return std::nullopt;
  return owner;
}

std::vector<model::Precondition> BlockRecords::PlacementPreconditions(size_t owner) const {
  const BlockAssignmentRecord& record = assignment_.record();
  const std::string& node = record.owners.at(owner).node;
  return {store::FencingTokenPrecondition(record.token),
          {store::BlockAssignmentKey(), assignment_version_},
          {store::AllocationKey(node), AllocationVersion(node)}};
}

plan::PlacementScope BlockRecords::AllMachinesScope(double widen_interval_s,
                                                    double time_of_day) const {
  plan::PlacementScope scope;
  scope.owner_count = assignment_.record().owners.size();
  scope.owner_of = [this](const std::string& machine) { return assignment_.OwnerOf(machine); };
  scope.may_place = [this, widen_interval_s, time_of_day](size_t owner, const jobs::Job& job) {
    return assignment_.MayPlace(owner, job.spec, job.priority, time_of_day - job.runnable_since,
                                widen_interval_s);
  };
  return scope;
}

plan::PlacementScope BlockRecords::OwnerScope(size_t owner, double widen_interval_s,
                                              double time_of_day, const config::Settings& settings,
                                              const jobs::JobTable& job_table) const {
  plan::PlacementScope scope = AllMachinesScope(widen_interval_s, time_of_day);
  scope.single_owner = owner;
  const BlockOwner& self = assignment_.record().owners.at(owner);
  const quota::Usage usage = quota::CountPlaced(job_table, scope.owner_count, scope.owner_of);
  for (const config::Team& team : settings.teams) {
    const quota::Amount remaining = quota::RemainingQuota(
        team, AllocationOf(self.node), self.allocation_epoch, usage.by_owner[owner]);
    scope.team_allowances[team.name] = {remaining.cpus, remaining.gpus, 0};
  }
  return scope;
}

}  // namespace hallpier::blocks
