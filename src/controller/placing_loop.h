// What a controller that holds a block of machines does without leading: rounds over its block,
// under its shares of the teams' limits. It records placements; the leader's roster starts them.
#pragma once

#include <optional>

#include "async/wait.h"
#include "blocks/block_records.h"
#include "blocks/machine_mirror.h"
#include "config/settings.h"
#include "controller/node_services.h"
#include "controller/transaction_committer.h"
#include "jobs/job_table.h"
#include "model/machine_type.h"
#include "plan/round.h"
#include "store/client.h"
#include "store/formats.h"
#include "store/watch_cache.h"
#include "wire/peer_messages.h"

namespace hallpier::controller {

class PlacingLoop {
 public:
  explicit PlacingLoop(const NodeServices& services);

  // The routine, for as long as its scope lives.
  async::Task<> Run();
  // Something came that a round should look at.
  void RequestRound();
  // The leader tells of machines. Nothing: it has been followed by another.
  std::optional<wire::BlockAcknowledgement> OnView(const wire::BlockView& view);

 private:
  async::Task<> Round();
  // The number of this node among the holders, if it may place now.
  std::optional<size_t> Holding() const;
  // The state service answers this node, and its copy of the records is current.
  bool Able() const;
  plan::RoundResult Plan(size_t holder);
  double Now() const { return scope_.loop().Now(); }

  async::Scope& scope_;
  const NodeServices& services_;
  blocks::MachineMirror mirror_;
  plan::Context context_;
  TransactionCommitter committer_;
  async::Event work_;
  bool work_waits_ = false;
  double round_took_ = 0;
};

}  // namespace hallpier::controller
