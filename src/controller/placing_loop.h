// What a controller that holds a block of machines does without leading: rounds over its block,
// under its shares of the teams' limits. It records placements; the leader's roster starts them.
#pragma once

#include <optional>

#include "async/event_loop.h"
#include "blocks/block_records.h"
#include "blocks/machine_mirror.h"
#include "config/settings.h"
#include "controller/transaction_committer.h"
#include "jobs/job_table.h"
#include "model/machine_type.h"
#include "plan/round.h"
#include "store/client.h"
#include "store/record_formats.h"
#include "store/watch_cache.h"
#include "wire/peer.h"

namespace hallpier::controller {

class PlacingLoop {
 public:
  struct Dependencies {
    const config::Settings* settings;
    const config::Operator* operators;
    store::Client* client;
    store::WatchCache* cache;
    store::RecordFormats* formats;
    jobs::JobTable* job_table;
    std::vector<model::MachineType>* machine_types;
    blocks::BlockRecords* records;
    std::function<uint64_t()> session;  // of this process; 0: it has none
    std::function<bool()> leading;      // a leader places in its own rounds
    std::function<double()> time_of_day;
  };
  PlacingLoop(async::Scope& scope, Dependencies dependencies);

  // The routine, for as long as its scope lives.
  async::Task<> Run();
  // Something came that a round should look at.
  void OnChange();
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
  const Dependencies deps_;
  blocks::MachineMirror mirror_;
  plan::Context context_;
  TransactionCommitter committer_;
  async::Event work_;
  bool work_waits_ = false;
  double round_took_ = 0;
};

}  // namespace hallpier::controller
