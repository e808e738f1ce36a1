// Turns a round's mutations into transactions that fit the state service's limits. Does no I/O.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "jobs/ledger.h"

namespace hallpier::jobs {

struct Txn {
  std::vector<wire::Guard> guards;
  std::vector<wire::Write> writes;
  bool urgent = false;                // holds completions or releases
  std::vector<std::string> machines;  // that got a new placement in it
};

struct BatchLimits {
  int ops = 0;  // writes in a transaction
  std::string block_key;
  uint64_t token = 0;  // the block record's stamp: who holds another one loses
};

using StampOf = std::function<uint64_t(const std::string& key)>;

// Mutations that the records no longer allow are left out. Jobs whose last task is done, or that
// are cancelled with nothing placed any more, become final in the same transaction.
std::vector<Txn> BuildTxns(const Ledger& ledger, const std::vector<Mutation>& mutations,
                           const BatchLimits& limits, const StampOf& stamp);

}  // namespace hallpier::jobs
