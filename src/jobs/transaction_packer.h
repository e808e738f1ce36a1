// Packs units of writes into transactions within the state service's limits. Called by
// BuildTransactions; does no I/O and keeps no state between calls.
#pragma once

#include <string>
#include <vector>

#include "jobs/transaction.h"
#include "jobs/write_priority.h"
#include "model/key_value.h"

namespace hallpier::jobs {

// Writes that must be committed together, and their preconditions.
struct WriteUnit {
  std::vector<model::Precondition> preconditions;
  std::vector<model::KeyWrite> writes;  // never empty
  std::vector<std::string> machines;    // machines that get a new placement
  WritePriority priority = WritePriority::kTaskEnd;
};

// Sorts the units by priority (stable) and packs them into consecutive transactions. The
// preconditions of each transaction begin with `limits.preconditions`. A unit is never split: one
// that exceeds the limits by itself becomes a separate transaction.
std::vector<Transaction> PackTransactions(std::vector<WriteUnit> units,
                                          const TransactionLimits& limits);

}  // namespace hallpier::jobs
