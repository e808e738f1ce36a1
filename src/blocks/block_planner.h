// Plans the leader's changes to the block assignment and to quota allocations as transactions,
// which the caller sends. Does no I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "blocks/assignment_planner.h"
#include "blocks/block_records.h"
#include "blocks/owner_eligibility.h"
#include "config/operator_options.h"
#include "config/settings.h"
#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "model/ids.h"
#include "model/key_value.h"
#include "plan/round.h"

namespace hallpier::blocks {

// One transaction on the block assignment or on allocation records.
struct RecordChange {
  std::vector<model::Precondition> preconditions;
  std::vector<model::KeyWrite> writes;
};

// Limits of the state service on one transaction.
struct WriteLimits {
  size_t max_operations = 0;
  size_t max_value_bytes = 0;
};

class BlockPlanner {
 public:
  BlockPlanner(const config::Settings& settings, const config::BlockOptions& options);

  // Starts a term of this leader under the token.
  void BeginTerm(model::FencingToken token, const BlockRecords& records, double now);
  OwnerEligibility& eligibility() { return eligibility_; }

  // Returns the change that the block assignment needs; std::nullopt if it needs none.
  // `all_support_blocks`: true if every configured node can read these records; if false, there are
  // no owners.
  std::optional<RecordChange> PlanAssignmentChange(const BlockRecords& records,
                                                   const CacheState& cache, bool all_support_blocks,
                                                   double now);
  // Returns the change that the allocations need; std::nullopt if they need none, or if the cache
  // is too old to decide. `round`: the leader's plan over all machines.
  std::optional<RecordChange> PlanAllocationChange(
      const BlockRecords& records, const CacheState& cache, const jobs::JobTable& job_table,
      const fleet::WorkerRegistry& registry, const plan::PlanningContext& context,
      const plan::RoundResult& round, const plan::PlacementScope& scope,
      const WriteLimits& limits) const;

 private:
  const config::Settings& settings_;
  OwnerEligibility eligibility_;
  AssignmentPlanner assignment_planner_;
};

// Returns by owner and team the quota that must be left free as the owner's tasks end, because the
// team's next job in the queue is one that this owner can't place but another owner can.
std::vector<quota::AmountByTeam> ReservedForOthers(const jobs::JobTable& job_table,
                                                   const fleet::WorkerRegistry& registry,
                                                   const plan::PlanningContext& context,
                                                   const plan::RoundResult& round,
                                                   const plan::PlacementScope& scope);

}  // namespace hallpier::blocks
