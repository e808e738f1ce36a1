// Runs the leader's rounds: when a round is due, it reconciles the records with what workers
// report, plans, has tasks preempted, and commits what was decided. Owned by the leader; its
// routine ends with the term.
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
  // The other parts of the leader, which must outlive this.
  struct Parts {
    fleet::WorkerRegistry& registry;
    plan::PlanningContext& context;
    CommandSource& commands;
    CommandDispatcher& dispatcher;
    ScalingLoop& scaling;
    RoundTrigger& trigger;
    BlockCoordinator* blocks;  // null: blocks are off
  };
  RoundRunner(const NodeServices& services, Parts parts);

  // A term begins.
  void BeginTerm();
  // Prod or urgent work has come that no round has considered yet.
  void OnUrgentWork() { replan_policy_.OnUrgentWork(); }
  // The routine of a term: ends with the scope.
  async::Task<> Run(async::Scope& term);

 private:
  // What this node places itself, and under which preconditions it is recorded.
  struct PlacementDecision {
    std::vector<jobs::TaskTransition> placements;
    std::vector<model::Precondition> preconditions;
  };
  TransactionCommitter::Hooks CommitHooks();
  // Waits until a round is due and the copy of the records is current.
  async::Task<> AwaitDue(async::Scope& term);
  async::Task<> Round(async::Scope& term);
  // Voids lost start commands where they stand in the way, and resolves transactions that got no
  // answer. False: no round can be planned yet.
  async::Task<bool> Prepare(async::Scope& term);
  plan::RoundResult Plan(double began, const plan::PlacementScope* scope);
  void Preempt(const std::vector<plan::Preemption>& preemptions);
  // Has the holders' blocks and shares reviewed, and decides what this node itself places. `scope`:
  // the one of the plan; null: machines were not divided.
  async::Task<PlacementDecision> DecidePlacements(async::Scope& term, plan::RoundResult& plan,
                                                  const plan::PlacementScope* scope);
  // The placements of this node's own block.
  PlacementDecision PlaceOnOwnBlock(size_t holder);
  // Turns a round's transitions into transactions and sends them.
  async::Task<> Commit(async::Scope& term, std::vector<jobs::TaskTransition> transitions,
                       std::vector<model::Precondition> preconditions);
  void LogRound(const plan::RoundResult& plan,
                const std::vector<jobs::TaskTransition>& placements) const;

  const NodeServices& services_;
  const Parts parts_;
  TransactionCommitter committer_;
  ReplanPolicy replan_policy_;
  double planning_s_ = 0;  // how long the last round took to plan
};

}  // namespace hallpier::controller
