// Sends the transactions of a round to the key-value store, one after the other, and keeps those
// that got no answer until it is known what became of them. Owned by whoever runs rounds: the
// leader, or the holder of a block.
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
  // What the owner of the rounds adds. Any may be null, except for `on_not_written`.
  struct Hooks {
    // True if this transaction and the rest are better decided anew than sent. Null: never.
    std::function<bool(const jobs::Transaction& transaction)> replan_instead;
    // Log lines that are taken before a transaction is sent and written once it is committed: the
    // watch may bring what it ends before its answer comes.
    std::function<std::vector<std::string>(const jobs::Transaction& transaction)> describe;
    // A transaction was committed; the copy of the records has it right after.
    std::function<void(const jobs::Transaction& transaction)> on_committed;
    // New placements on a machine are recorded, or may be.
    std::function<void(const std::string& machine)> on_placed;
    // Something was not written: another round is to decide on it.
    std::function<void()> on_not_written;
  };
  // `services` must outlive this.
  TransactionCommitter(const NodeServices& services, Hooks hooks);

  // A term begins. What was left of an earlier one is void: its preconditions can't hold any more.
  void Reset();
  // The limits for a round's transactions, each under these preconditions.
  jobs::TransactionLimits Limits(std::vector<model::Precondition> preconditions) const;
  // Sends transactions in their order, within `budget_s` seconds. What does not get written is
  // decided anew by the next round, from what the records say then.
  async::Task<> Commit(async::Scope& scope, std::vector<jobs::Transaction> transactions,
                       double budget_s);
  // Sends again what got no answer; false if it still has none. Placements without an answer may be
  // carried out at any time: until that is known, neither quotas nor zones can be counted. Sent
  // again, they either count or can never count, since both copies have the same preconditions.
  async::Task<bool> ResolveUnanswered(async::Scope& scope, double budget_s);

 private:
  enum class Outcome {
    kCommitted,
    kMalformed,   // rejected for what it contains
    kOvertaken,   // a precondition did not hold, and the copy has what overtook it
    kNotApplied,  // not carried out, or overtaken by what could not be read
    kNoAnswer,    // carried out, or not, or to be carried out later
  };
  // Sends one transaction and takes in what came of it.
  async::Task<Outcome> Send(async::Scope& scope, const jobs::Transaction& transaction,
                            double patience_s);
  void OnCommitted(const jobs::Transaction& transaction, uint64_t revision);
  void OnMalformed(const std::vector<model::KeyWrite>& writes);
  // A precondition did not hold: reads its keys anew.
  async::Task<Outcome> OnConflict(async::Scope& scope, const jobs::Transaction& transaction,
                                  std::vector<std::string> failed_keys);
  async::Task<bool> Refresh(async::Scope& scope, std::vector<std::string> keys) const;
  void NotifyPlaced(const jobs::Transaction& transaction) const;

  const NodeServices& services_;
  const Hooks hooks_;
  OversizedWrites oversized_;
  std::deque<jobs::Transaction> unanswered_;
};

}  // namespace hallpier::controller
