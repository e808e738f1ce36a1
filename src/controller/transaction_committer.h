// Sends the transactions of a round to the state service, one after the other, and keeps what got
// no answer until it is settled.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "async/event_loop.h"
#include "config/settings.h"
#include "jobs/transaction_builder.h"
#include "model/key_value.h"
#include "store/client.h"
#include "store/record_formats.h"
#include "store/watch_cache.h"

namespace hallpier::controller {

class TransactionCommitter {
 public:
  struct Hooks {
    // True if the rest is better decided anew than written; null: never.
    std::function<bool(const jobs::Transaction& transaction)> gives_way;
    // Lines for the log, taken before a transaction is sent and written once it is carried out: the
    // watch may bring what it ends before its answer comes. Null: none.
    std::function<std::vector<std::string>(const jobs::Transaction& transaction)> describe;
    // A transaction was carried out, and the copy has it. Null: nothing more is to be done.
    std::function<void(const jobs::Transaction& transaction)> on_written;
    // New placements on a machine are recorded, or may be. Null: nobody has to be told.
    std::function<void(const std::string& machine)> on_placed;
    // Something was not written: another round is to decide on it.
    std::function<void()> on_left;
  };
  TransactionCommitter(const config::Settings& settings, store::Client& client,
                       store::WatchCache& cache, store::RecordFormats& formats, Hooks hooks);

  // What was left of an earlier term is void: its guards can't hold any more.
  void Reset();
  // The limits for a round's transactions, each under these guards.
  jobs::TransactionLimits Limits(std::vector<model::Precondition> preconditions,
                                 double time_of_day) const;
  // Sends them in their order, within `budget_s` seconds. What does not get written is decided
  // anew: the records say what comes next.
  async::Task<> Commit(async::Scope& scope, std::vector<jobs::Transaction> transactions,
                       double budget_s);
  // Sends again what got no answer; false if it still has none. Placements without an answer may be
  // carried out at any time: until that is settled, no quota and no zone can be reckoned with. Sent
  // again, they either count or can never count, since both copies have the same guards.
  async::Task<bool> ResolveUnanswered(async::Scope& scope, double budget_s);

 private:
  enum class Written {
    kYes,
    kNever,      // refused for what it holds
    kOvertaken,  // a guard did not hold, and the copy knows why
    kNotNow,     // not carried out, or overtaken by what could not be read
    kNoAnswer,   // carried out, or not, or to be carried out later
  };
  // Sends one transaction and takes in what came of it.
  async::Task<Written> Write(async::Scope& scope, const jobs::Transaction& transaction,
                             double patience_s);
  void TakeIn(const jobs::Transaction& transaction, uint64_t revision);
  // Reads anew the keys whose guards did not hold.
  async::Task<bool> Refresh(async::Scope& scope, std::vector<std::string> keys);
  void TellPlaced(const jobs::Transaction& transaction) const;
  // A transaction was refused as malformed: something in it is too large, in all likelihood. What
  // was together goes alone from now on, and what was alone is not sent again unchanged.
  void OnTooLarge(const std::vector<model::KeyWrite>& writes);
  bool Refused(const std::vector<model::KeyWrite>& writes) const;

  const config::Settings& settings_;
  store::Client& client_;
  store::WatchCache& cache_;
  store::RecordFormats& formats_;
  const Hooks hooks_;
  std::set<std::string> alone_;  // keys that go alone, since they were refused with others
  // By first key, what was refused alone: its keys and the sizes of their values.
  std::map<std::string, std::vector<std::pair<std::string, size_t>>> refused_;
  std::deque<jobs::Transaction> unanswered_;
};

}  // namespace hallpier::controller
