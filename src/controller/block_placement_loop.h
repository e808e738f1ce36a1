// What a controller that holds a block of machines does without leading: rounds over its block,
// under its shares of the teams' quotas. It records placements; the leader has them started. Owned
// by the controller; runs as one routine of the node's scope.
#pragma once

#include <optional>

#include "async/wait.h"
#include "blocks/machine_mirror.h"
#include "controller/node_services.h"
#include "controller/round_trigger.h"
#include "controller/transaction_committer.h"
#include "plan/round.h"
#include "wire/peer_messages.h"

namespace hallpier::controller {

class BlockPlacementLoop {
 public:
  // `services` must outlive this.
  explicit BlockPlacementLoop(const NodeServices& services);

  // The routine: runs until the node's scope is cancelled.
  async::Task<> Run();
  // Something happened that a round should consider.
  void RequestRound() { trigger_.Request(); }
  // A view of machines from the leader, and its acknowledgement. Nothing: the sender has been
  // followed by another leader.
  std::optional<wire::BlockAcknowledgement> OnView(const wire::BlockView& view);

 private:
  async::Task<> Round();
  // This node's index among the holders, if it may place now.
  std::optional<size_t> HolderIndex() const;
  // True if the store answers this node and its copy of the records is current.
  bool CanPlace() const;
  plan::RoundResult Plan(size_t holder);
  double Now() const { return services_.scope->loop().Now(); }

  const NodeServices& services_;
  blocks::MachineMirror machines_;
  plan::PlanningContext context_;
  RoundTrigger trigger_;
  TransactionCommitter committer_;
  double planning_s_ = 0;  // how long the last round took to plan
};

}  // namespace hallpier::controller
