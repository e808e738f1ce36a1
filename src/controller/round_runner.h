// Runs the leader's rounds: when a round is due, it reconciles the records with the workers'
// reports, plans, requests preemptions, and commits the decisions. Owned by the leader; its
// coroutine ends with the term.
#pragma once

#include <optional>
#include <vector>

#include "async/wait.h"
#include "controller/block_coordinator.h"
#include "controller/command_dispatcher.h"
#include "controller/command_source.h"
#include "controller/node_services.h"
#include "controller/replan_policy.h"
#include "controller/round_trigger.h"
#include "controller/scaling_loop.h"
#include "controller/transaction_committer.h"
#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "model/key_value.h"
#include "plan/round.h"

namespace hallpier::controller {

class RoundRunner {
 public:
  // The other components of the leader, which must outlive this object.
  struct Components {
    fleet::WorkerRegistry& registry;
    plan::PlanningContext& context;
    CommandSource& command_source;
    CommandDispatcher& command_dispatcher;
    ScalingLoop& scaling_loop;
    RoundTrigger& trigger;
    BlockCoordinator* block_coordinator;  // null if blocks are disabled
  };
  RoundRunner(const NodeServices& services, Components components);

  // Starts a term.
  void BeginTerm();
  // Called when prod or urgent work arrives that no round has considered yet.
  void OnUrgentWork() { replan_policy_.OnUrgentWork(); }
  // Runs the rounds of a term until its scope is cancelled.
  async::Task<> Run(async::Scope& term);

 private:
  // The placements that this node makes itself, and the preconditions for recording them.
  struct PlacementDecision {
    std::vector<jobs::TaskTransition> placements;
    std::vector<model::Precondition> preconditions;
  };
  TransactionCommitter::Hooks CommitHooks();
  // Waits until a round is due and the watch cache is current.
  async::Task<> AwaitNextRound(async::Scope& term);
  async::Task<> RunRound(async::Scope& term);
  // Raises the token if lost start commands block progress, since a higher token invalidates them.
  // Resolves transactions without a response. Returns false if no round can be planned yet.
  async::Task<bool> PrepareRound(async::Scope& term);
  plan::RoundResult Plan(double started_at, const plan::PlacementScope* scope);
  void RequestPreemptions(const std::vector<plan::Preemption>& preemptions);
  // Has the block assignment and the allocations updated, and decides which placements this node
  // makes itself. `scope` is the scope of the plan, null if no block had an owner.
  async::Task<PlacementDecision> DecidePlacements(async::Scope& term, plan::RoundResult& plan,
                                                  const plan::PlacementScope* scope);
  // Returns the placements on this node's own block.
  PlacementDecision PlaceOnOwnBlock(size_t owner);
  // Builds transactions from the transitions of a round and sends them.
  async::Task<> Commit(async::Scope& term, std::vector<jobs::TaskTransition> transitions,
                       std::vector<model::Precondition> preconditions);
  void LogRound(const plan::RoundResult& plan,
                const std::vector<jobs::TaskTransition>& placements) const;

  const NodeServices& services_;
  const Components components_;
  TransactionCommitter committer_;
  ReplanPolicy replan_policy_;
  double last_planning_s_ = 0;  // planning time of the last round
};

}  // namespace hallpier::controller
