// What the leader decides of blocks and shares, as transactions that it is to send. Does no I/O.
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

// One transaction on records of blocks and shares.
struct RecordChange {
  std::vector<model::Precondition> preconditions;
  std::vector<model::KeyWrite> writes;
};

// What the state service takes in one transaction.
struct WriteLimits {
  size_t operations = 0;
  size_t value_bytes = 0;
};

class BlockPlanner {
 public:
  BlockPlanner(const config::Settings& settings, const config::BlockOptions& options);

  // A term has begun under this token.
  void BeginTerm(model::FencingToken token, const BlockRecords& records, double now);
  OwnerEligibility& holders() { return holders_; }

  // The division as it should be; nothing: it is. `all_understand`: every node of the settings
  // reads these records; else nobody holds anything.
  std::optional<RecordChange> PlanAssignmentChange(const BlockRecords& records,
                                                   const CacheState& copy, bool all_understand,
                                                   double now);
  // The shares as they should be; nothing: they are, or the copy is not new enough to say. `round`:
  // the leader's plan over all machines.
  std::optional<RecordChange> PlanAllocationChange(
      const BlockRecords& records, const CacheState& copy, const jobs::JobTable& job_table,
      const fleet::WorkerRegistry& registry, const plan::PlanningContext& context,
      const plan::RoundResult& round, const plan::PlacementScope& scope,
      const WriteLimits& limits) const;

 private:
  const config::Settings& settings_;
  OwnerEligibility holders_;
  AssignmentPlanner divider_;
};

// By holder: what must be left free as tasks end, since the team's next job in the order is one
// that the holder can't place and another can.
std::vector<quota::AmountByTeam> ReservedForOthers(const jobs::JobTable& job_table,
                                                   const fleet::WorkerRegistry& registry,
                                                   const plan::PlanningContext& context,
                                                   const plan::RoundResult& round,
                                                   const plan::PlacementScope& scope);

}  // namespace hallpier::blocks
