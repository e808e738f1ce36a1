#include "blocks/lending.h"

#include <algorithm>

#include "config/operator_options.h"
#include "model/machine_type.h"
#include "plan/feasibility.h"
#include "quota/lender.h"
#include "quota/usage.h"
#include "store/keys.h"

namespace hallpier::blocks {
namespace {

// A holder that was lost once gets no block for so many leases, and for so many at the most.
constexpr double kHoldOffLeases = 1;
constexpr double kMaxHoldOffLeases = 16;

HolderTable::Options TableOptions(const config::Settings& settings,
                                  const config::BlockOptions& options) {
  const double lease_s = options.lease_ratio * settings.heartbeat_interval_s;
  return {.node = settings.node,
          .lease_s = lease_s,
          .hold_off_s = kHoldOffLeases * lease_s,
          .max_hold_off_s = kMaxHoldOffLeases * lease_s};
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

std::vector<quota::AmountByTeam> Withheld(const jobs::JobTable& job_table,
                                          const fleet::WorkerRegistry& registry,
                                          const plan::PlanningContext& context,
                                          const plan::RoundResult& round,
                                          const plan::PlacementScope& scope) {
  std::vector<quota::AmountByTeam> withheld(scope.holder_count);
  for (const auto& [team, id] : round.first_job_over_quota) {
    const jobs::Job* job = job_table.Find(id);
    if (job == nullptr) continue;
    const std::vector<char> able = HoldersAble(*job, registry, context, scope);
    // Where nobody can place it, nobody has to wait for it.
    if (std::find(able.begin(), able.end(), 1) == able.end()) continue;
    for (size_t i = 0; i < able.size(); ++i) {
      if (able[i] == 0) withheld[i][team] = quota::TaskAmount(job->spec);
    }
  }
  return withheld;
}

Lending::Lending(const config::Settings& settings, const config::BlockOptions& options)
    : settings_(settings),
      holders_(TableOptions(settings, options)),
      divider_(static_cast<size_t>(options.holders)) {}

void Lending::BeginTerm(model::FencingToken token, const BlockRecords& records, double now) {
  divider_.BeginTerm(token);
  holders_.BeginTerm(records.division().record(), now);
}

std::optional<RecordChange> Lending::ReviewDivision(const BlockRecords& records,
                                                    const CopyState& copy, bool all_understand,
                                                    double now) {
  const Candidates fit = holders_.Fit(now);
  const Candidates candidates = all_understand ? fit : Candidates();
  auto next = divider_.Review(records.division().record(), copy.token, copy.revision, candidates);
  if (!next) return std::nullopt;
  RecordChange change;
  change.preconditions = {store::FencingTokenPrecondition(copy.token),
                          {store::DivisionKey(), records.division_version()}};
  change.writes = {{store::DivisionKey(), WriteDivision(*next), 0}};
  return change;
}

std::optional<RecordChange> Lending::ReviewShares(
    const BlockRecords& records, const CopyState& copy, const jobs::JobTable& job_table,
    const fleet::WorkerRegistry& registry, const plan::PlanningContext& context,
    const plan::RoundResult& round, const plan::PlacementScope& scope,
    const WriteLimits& limits) const {
  // What a holder placed before its share shrank may not have come yet: lent anew now, it would
  // count twice.
  if (copy.revision < records.newest()) return std::nullopt;
  const DivisionRecord& division = records.division().record();
  const quota::Usage usage = quota::CountPlaced(job_table, scope.holder_count, scope.holder_of);
  const auto withheld = Withheld(job_table, registry, context, round, scope);
  std::vector<quota::HolderAccount> accounts;
  for (size_t i = 0; i < division.holders.size(); ++i) {
    const Holder& holder = division.holders[i];
    accounts.push_back({holder.node, holder.grant, records.ShareOf(holder.node), usage.by_holder[i],
                        AmountsOf(round.planned_by_holder[i]), withheld[i]});
  }
  auto changes = quota::ReviewShares(settings_.teams, {usage.outside, quota::LeastTasks(job_table)},
                                     accounts, limits.value_bytes);
  if (changes.empty()) return std::nullopt;
  // The rest comes with the next review, which finds the versions of these.
  if (changes.size() > limits.operations) changes.resize(limits.operations);
  RecordChange change;
  change.preconditions = records.AllPreconditions();
  change.preconditions.insert(change.preconditions.begin(),
                              store::FencingTokenPrecondition(copy.token));
  for (const quota::ShareChange& share : changes) {
    change.writes.push_back({store::ShareKey(share.node), quota::WriteShare(share.record), 0});
  }
  return change;
}

}  // namespace hallpier::blocks
