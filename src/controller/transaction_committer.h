// Sends the transactions of a round to the state service one by one, and keeps those without a
// response until their outcome is known. Owned by the component that runs rounds: RoundRunner on
// the leader, BlockPlacementLoop on the owner of a block.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "async/wait.h"
#include "controller/node_services.h"
#include "controller/oversized_writes.h"
#include "jobs/transaction_builder.h"
#include "model/key_value.h"
#include "store/client.h"

namespace hallpier::controller {

class TransactionCommitter {
 public:
  // Callbacks of the owner. All but `on_not_written` may be null.
  struct Hooks {
    // Returns true if this transaction and the following ones are to be dropped and left to the
    // next round. If null, none are dropped.
    std::function<bool(const jobs::Transaction& transaction)> should_replan;
    // Returns log lines before a transaction is sent; they are logged after it is committed. The
    // watch may deliver the changes before the response arrives, so the lines can't be built then.
    std::function<std::vector<std::string>(const jobs::Transaction& transaction)> describe;
    // Called after a transaction was committed at a revision, right before it is applied to the
    // watch cache.
    std::function<void(const jobs::Transaction& transaction, uint64_t revision)> on_committed;
    // Called when new placements on a machine are recorded or may be recorded.
    std::function<void(const std::string& machine)> on_placed;
    // Called when something was not written, so that another round decides on it.
    std::function<void()> on_not_written;
  };
  // `services` must outlive this object.
  TransactionCommitter(const NodeServices& services, Hooks hooks);

  // Starts a term. Unanswered transactions of an earlier term are dropped: their preconditions
  // can't hold any more.
  void Reset();
  // Returns the limits for the transactions of a round, each of which gets these preconditions.
  jobs::TransactionLimits Limits(std::vector<model::Precondition> preconditions) const;
  // Sends the transactions in order, within `budget_s` seconds. The next round decides again on
  // anything that was not written, based on the records at that time.
  async::Task<> Commit(async::Scope& scope, std::vector<jobs::Transaction> transactions,
                       double budget_s);
  // Resends the transactions that got no response; returns false if one of them still has an
  // unknown outcome. Placements without a response may be executed at any time, so until their
  // outcome is known neither quota usage nor the tasks per zone can be counted. Resending settles
  // the outcome: afterwards the placements either are recorded or can never be, since both copies
  // of the transaction have the same preconditions.
  async::Task<bool> ResolveUnanswered(async::Scope& scope, double budget_s);

 private:
  enum class Outcome {
    kCommitted,
    kMalformed,   // rejected because of its content
    kSuperseded,  // a precondition failed, and the watch cache has the conflicting write
    kNotApplied,  // not executed, or a conflicting write could not be read
    kNoAnswer,    // unknown: already executed, never executed, or executed later
  };
  // Sends one transaction and handles its outcome.
  async::Task<Outcome> Send(async::Scope& scope, const jobs::Transaction& transaction,
                            double max_wait_s);
  void OnCommitted(const jobs::Transaction& transaction, uint64_t revision);
  void OnMalformed(const std::vector<model::KeyWrite>& writes);
  // Handles failed preconditions: reads their keys again.
  async::Task<Outcome> OnConflict(async::Scope& scope, const jobs::Transaction& transaction,
                                  std::vector<std::string> failed_keys);
  // Reads the keys into the watch cache, except for that of the fencing token. Returns false if one
  // of them could not be read.
  async::Task<bool> Refresh(async::Scope& scope, std::vector<std::string> keys) const;
  // Calls `on_placed` for each machine of the transaction.
  void NotifyPlaced(const jobs::Transaction& transaction) const;

  const NodeServices& services_;
  const Hooks hooks_;
  OversizedWrites oversized_;
  std::deque<jobs::Transaction> unanswered_;
};

}  // namespace hallpier::controller
