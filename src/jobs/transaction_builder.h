// Turns a round's mutations into transactions that fit the state service's limits. Does no I/O.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_table.h"
#include "model/key_value.h"

namespace hallpier::jobs {

// What is written first when there is more than the budget allows. What is left over is decided
// anew by the next round.
enum class WritePriority {
  kUrgentStart,  // starts of prod and urgent work
  kEnd,          // a job becomes final, or loses what still ran after its cancellation
  kStart,        // other starts; tasks that wait again; ends that have waited long
  kTidy,         // jobs cancelled for the sake of others, keys that nothing needs any more
  kOutcome,      // ends of single tasks: their machines keep them meanwhile
};

struct Transaction {
  std::vector<model::Precondition> preconditions;
  std::vector<model::KeyWrite> writes;
  WritePriority rank = WritePriority::kOutcome;  // of the first it holds
  std::vector<std::string> machines;             // that got a new placement in it
};

struct TransactionLimits {
  int ops = 0;  // writes in a transaction
  // Of every transaction. The first is the leader's token: who holds another one loses.
  std::vector<model::Precondition> preconditions;
  size_t value_bytes = 0;  // of the largest value; 0: any
  double patience_s = 0;   // ends of tasks wait no longer than this behind starts
  // Every node reads the newer forms: groups are packed, and final records hold their time.
  bool packed = false;
  double time_of_day = 0;
  // Keys whose writes share a transaction with no others: one of them has been refused with it.
  const std::set<std::string>* alone = nullptr;
  // Only placements are built: ends, and what nothing needs any more, are the leader's.
  bool placements_only = false;
  // Other nodes place at the same time. Where the zones of a job's tasks depend on each other, a
  // placement then rewrites the job's record as well, so that of two only one can hold.
  bool others_place = false;
};

using VersionLookup = std::function<uint64_t(const std::string& key)>;

// A job that is cancelled becomes final only after all that await it: as long as any of these is
// unfinished, its record says why they are cancelled, whoever leads.
//
// Mutations that the records no longer allow are left out. Jobs whose last task is done, or that
// are cancelled with nothing placed any more, become final in the same transaction. All that a
// round has for one group of tasks goes into one write.
std::vector<Transaction> BuildTransactions(const JobTable& job_table,
                                           const std::vector<TaskTransition>& transitions,
                                           const TransactionLimits& limits,
                                           const VersionLookup& version);

}  // namespace hallpier::jobs
