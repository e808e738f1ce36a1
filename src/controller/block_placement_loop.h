// Runs the scheduling rounds of a follower that owns a block of machines: it plans over its block,
// limited by its allocations of the teams' quotas, and records the placements; the leader has the
// tasks started. Owned by the controller; runs as one coroutine of the node's scope.
#pragma once

#include <optional>

#include "async/wait.h"
#include "blocks/machine_state_replica.h"
#include "controller/node_services.h"
#include "controller/round_trigger.h"
#include "controller/transaction_committer.h"
#include "plan/round.h"
#include "wire/peer_messages.h"

namespace hallpier::controller {

class BlockPlacementLoop {
 public:
  // `services` must outlive this object.
  explicit BlockPlacementLoop(const NodeServices& services);

  // Runs until the node's scope is cancelled.
  async::Task<> Run();
  // Requests a round after an event that it should consider.
  void RequestRound() { trigger_.Request(); }
  // Handles a view of machines from the leader. Returns the acknowledgement, or std::nullopt if the
  // sender has been succeeded by another leader.
  std::optional<wire::BlockAcknowledgement> OnView(const wire::BlockView& view);

 private:
  async::Task<> RunRound();
  // Returns this node's index among the owners, or std::nullopt if it may not place now.
  std::optional<size_t> OwnerIndex() const;
  // True if the state service responds to this node and the watch cache is current.
  bool CanPlace() const;
  plan::RoundResult Plan(size_t owner);
  double Now() const { return services_.scope->loop().Now(); }

  const NodeServices& services_;
  blocks::MachineStateReplica machine_replica_;
  plan::PlanningContext context_;
  RoundTrigger trigger_;
  TransactionCommitter committer_;
  double last_planning_s_ = 0;  // planning time of the last round
};

}  // namespace hallpier::controller
