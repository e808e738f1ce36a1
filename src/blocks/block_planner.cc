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

// A holder that was lost once gets no block for so many leases, and for so many at the most.
constexpr double kHoldOffLeases = 1;
constexpr double kMaxHoldOffLeases = 16;

OwnerEligibility::Options TableOptions(const config::Settings& settings,
                                       const config::BlockOptions& options) {
  const double lease_s = options.lease_ratio * settings.heartbeat_interval_s;
  return {.node = settings.node,
          .lease_s = lease_s,
          .backoff_s = kHoldOffLeases * lease_s,
          .max_backoff_s = kMaxHoldOffLeases * lease_s};
}

quota::AmountByTeam AmountsOf(const std::map<std::string, plan::Resources>& rooms) {
  quota::AmountByTeam amounts;
  for (const auto& [team, room] : rooms) amounts[team] = {room.cpus, room.gpus};
  return amounts;
}

// By holder, whether it can place a job on one of its machines, were these empty.
std::vector<char> HoldersAble(const jobs::Job& job, const fleet::WorkerRegistry& registry,
                              const plan::PlanningContext& context,
                              const plan::PlacementScope& scope) {
  std::vector<char> able(scope.holder_count, 0);
  for (const auto& [name, machine] : registry.machines()) {
    const std::optional<size_t> holder = scope.holder_of(name);
    if (!holder || able[*holder] != 0 || !machine.has_reported() || machine.cloud.terminating)
      continue;
    const model::MachineType* machine_type = context.FindMachineType(machine.machine_type);
    const bool could =
        machine_type != nullptr && plan::IsFeasible(job.spec, machine, *machine_type);
    if (could && scope.may_place(*holder, job)) able[*holder] = 1;
  }
  return able;
}

}  // namespace

std::vector<quota::AmountByTeam> ReservedForOthers(const jobs::JobTable& job_table,
                                                   const fleet::WorkerRegistry& registry,
                                                   const plan::PlanningContext& context,
                                                   const plan::RoundResult& round,
                                                   const plan::PlacementScope& scope) {
  std::vector<quota::AmountByTeam> reserved_for_others(scope.holder_count);
  for (const auto& [team, id] : round.first_job_over_quota) {
    const jobs::Job* job = job_table.Find(id);
    if (job == nullptr) continue;
    const std::vector<char> able = HoldersAble(*job, registry, context, scope);
    // Where nobody can place it, nobody has to wait for it.
    if (std::find(able.begin(), able.end(), 1) == able.end()) continue;
    for (size_t i = 0; i < able.size(); ++i) {
      if (able[i] == 0) reserved_for_others[i][team] = quota::TaskAmount(job->spec);
    }
  }
  return reserved_for_others;
}

BlockPlanner::BlockPlanner(const config::Settings& settings, const config::BlockOptions& options)
    : settings_(settings),
      holders_(TableOptions(settings, options)),
      divider_(static_cast<size_t>(options.holders)) {}

void BlockPlanner::BeginTerm(model::FencingToken token, const BlockRecords& records, double now) {
  divider_.BeginTerm(token);
  holders_.BeginTerm(records.block_assignment().record(), now);
}

std::optional<RecordChange> BlockPlanner::PlanAssignmentChange(const BlockRecords& records,
                                                               const CacheState& copy,
                                                               bool all_understand, double now) {
  const Candidates fit = holders_.Fit(now);
  const Candidates candidates = all_understand ? fit : Candidates();
  auto next =
      divider_.Review(records.block_assignment().record(), copy.token, copy.revision, candidates);
  if (!next) return std::nullopt;
  RecordChange change;
  change.preconditions = {store::FencingTokenPrecondition(copy.token),
                          {store::DivisionKey(), records.block_assignment_version()}};
  change.writes = {{store::DivisionKey(), WriteBlockAssignment(*next), 0}};
  return change;
}

std::optional<RecordChange> BlockPlanner::PlanAllocationChange(
    const BlockRecords& records, const CacheState& copy, const jobs::JobTable& job_table,
    const fleet::WorkerRegistry& registry, const plan::PlanningContext& context,
    const plan::RoundResult& round, const plan::PlacementScope& scope,
    const WriteLimits& limits) const {
  // What a holder placed before its share shrank may not have come yet: lent anew now, it would
  // count twice.
  if (copy.revision < records.newest_revision()) return std::nullopt;
  const BlockAssignmentRecord& block_assignment = records.block_assignment().record();
  const quota::Usage usage = quota::CountPlaced(job_table, scope.holder_count, scope.holder_of);
  const auto reserved_for_others = ReservedForOthers(job_table, registry, context, round, scope);
  std::vector<quota::OwnerAccount> accounts;
  for (size_t i = 0; i < block_assignment.holders.size(); ++i) {
    const BlockOwner& holder = block_assignment.holders[i];
    accounts.push_back({holder.node, holder.allocation_epoch, records.AllocationOf(holder.node),
                        usage.by_owner[i], AmountsOf(round.planned_by_holder[i]),
                        reserved_for_others[i]});
  }
  auto changes = quota::PlanAllocationChanges(settings_.teams,
                                              {usage.unowned, quota::SmallestTasks(job_table)},
                                              accounts, limits.value_bytes);
  if (changes.empty()) return std::nullopt;
  // The rest comes with the next review, which finds the versions of these.
  if (changes.size() > limits.operations) changes.resize(limits.operations);
  RecordChange change;
  change.preconditions = records.AllPreconditions();
  change.preconditions.insert(change.preconditions.begin(),
                              store::FencingTokenPrecondition(copy.token));
  for (const quota::AllocationChange& share : changes) {
    change.writes.push_back({store::ShareKey(share.node), quota::WriteAllocation(share.record), 0});
  }
  return change;
}

}  // namespace hallpier::blocks
