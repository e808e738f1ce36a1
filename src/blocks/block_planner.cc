#include "blocks/block_planner.h"

#include <algorithm>

#include "config/operator_options.h"
#include "model/machine_type.h"
#include "plan/feasibility.h"
#include "quota/allocation_planner.h"
#include "quota/usage.h"
#include "store/keys.h"

namespace hallpier::blocks {
namespace {

// Initial and longest backoff of a node that lost its block, in lease durations.
constexpr double kBackoffLeases = 1;
constexpr double kMaxBackoffLeases = 16;

OwnerEligibility::Options EligibilityOptions(const config::Settings& settings,
                                             const config::BlockOptions& options) {
  const double lease_s = options.lease_ratio * settings.heartbeat_interval_s;
  return {.node = settings.node,
          .lease_s = lease_s,
          .backoff_s = kBackoffLeases * lease_s,
          .max_backoff_s = kMaxBackoffLeases * lease_s};
}

quota::AmountByTeam AmountsOf(const std::map<std::string, plan::Resources>& resources_by_team) {
  quota::AmountByTeam amounts;
  for (const auto& [team, resources] : resources_by_team)
    amounts[team] = {resources.cpus, resources.gpus};
  return amounts;
}

// Returns for each owner whether it could place a job on one of its machines if they were empty.
std::vector<char> FindCapableOwners(const jobs::Job& job, const fleet::WorkerRegistry& registry,
                                    const plan::PlanningContext& context,
                                    const plan::PlacementScope& scope) {
  std::vector<char> capable(scope.owner_count, 0);
  for (const auto& [name, machine] : registry.machines()) {
    const std::optional<size_t> owner = scope.owner_of(name);
    if (!owner || capable[*owner] != 0 || !machine.has_reported() || machine.cloud.terminating)
      continue;
    const model::MachineType* machine_type = context.FindMachineType(machine.machine_type);
    const bool feasible =
        machine_type != nullptr && plan::IsFeasible(job.spec, machine, *machine_type);
    if (feasible && scope.may_place(*owner, job)) capable[*owner] = 1;
  }
  return capable;
}

}  // namespace

std::vector<quota::AmountByTeam> ReservedForOthers(const jobs::JobTable& job_table,
                                                   const fleet::WorkerRegistry& registry,
                                                   const plan::PlanningContext& context,
                                                   const plan::RoundResult& round,
                                                   const plan::PlacementScope& scope) {
  std::vector<quota::AmountByTeam> reserved_for_others(scope.owner_count);
  for (const auto& [team, id] : round.first_job_over_quota) {
    const jobs::Job* job = job_table.Find(id);
    if (job == nullptr) continue;
    const std::vector<char> capable = FindCapableOwners(*job, registry, context, scope);
    // If no owner can place the job, no owner has to leave quota free for it.
    if (std::find(capable.begin(), capable.end(), 1) == capable.end()) continue;
    for (size_t i = 0; i < capable.size(); ++i) {
      if (capable[i] == 0) reserved_for_others[i][team] = quota::TaskAmount(job->spec);
    }
  }
  return reserved_for_others;
}

BlockPlanner::BlockPlanner(const config::Settings& settings, const config::BlockOptions& options)
    : settings_(settings),
      eligibility_(EligibilityOptions(settings, options)),
      assignment_planner_(static_cast<size_t>(options.max_owners)) {}

void BlockPlanner::BeginTerm(model::FencingToken token, const BlockRecords& records, double now) {
  assignment_planner_.BeginTerm(token);
  eligibility_.BeginTerm(records.block_assignment().record(), now);
}

std::optional<RecordChange> BlockPlanner::PlanAssignmentChange(const BlockRecords& records,
                                                               const CacheState& cache,
                                                               bool all_support_blocks,
                                                               double now) {
  const Candidates eligible = eligibility_.EligibleNodes(now);
  const Candidates candidates = all_support_blocks ? eligible : Candidates();
  auto next = assignment_planner_.PlanChange(records.block_assignment().record(), cache.token,
                                             cache.revision, candidates);
  if (!next) return std::nullopt;
  RecordChange change;
  change.preconditions = {store::FencingTokenPrecondition(cache.token),
                          {store::BlockAssignmentKey(), records.block_assignment_version()}};
  change.writes = {{store::BlockAssignmentKey(), WriteBlockAssignment(*next), 0}};
  return change;
}

std::optional<RecordChange> BlockPlanner::PlanAllocationChange(
    const BlockRecords& records, const CacheState& cache, const jobs::JobTable& job_table,
    const fleet::WorkerRegistry& registry, const plan::PlanningContext& context,
    const plan::RoundResult& round, const plan::PlacementScope& scope,
    const WriteLimits& limits) const {
  // An older cache may lack placements that an owner made before its allocation shrank. Their quota
  // would be allocated a second time.
  if (cache.revision < records.newest_revision()) return std::nullopt;
  const BlockAssignmentRecord& block_assignment = records.block_assignment().record();
  const quota::Usage usage = quota::CountPlaced(job_table, scope.owner_count, scope.owner_of);
  const auto reserved_for_others = ReservedForOthers(job_table, registry, context, round, scope);
  std::vector<quota::OwnerAccount> accounts;
  for (size_t i = 0; i < block_assignment.owners.size(); ++i) {
    const BlockOwner& owner = block_assignment.owners[i];
    accounts.push_back({owner.node, owner.allocation_epoch, records.AllocationOf(owner.node),
                        usage.by_owner[i], AmountsOf(round.planned_by_owner[i]),
                        reserved_for_others[i]});
  }
  auto changes = quota::PlanAllocationChanges(settings_.teams,
                                              {usage.unowned, quota::SmallestTasks(job_table)},
                                              accounts, limits.max_value_bytes);
  if (changes.empty()) return std::nullopt;
  // The next call returns the remaining changes, with the new versions of these records.
  if (changes.size() > limits.max_operations) changes.resize(limits.max_operations);
  RecordChange change;
  change.preconditions = records.AllPreconditions();
  change.preconditions.insert(change.preconditions.begin(),
                              store::FencingTokenPrecondition(cache.token));
  for (const quota::AllocationChange& allocation : changes) {
    change.writes.push_back(
        {store::AllocationKey(allocation.node), quota::WriteAllocation(allocation.record), 0});
  }
  return change;
}

}  // namespace hallpier::blocks
