// Packs writes that belong together into transactions within the state service's limits. Does no
// I/O; lives as long as one call of BuildTransactions.
#pragma once

#include <string>
#include <vector>

#include "jobs/transaction.h"
#include "jobs/write_priority.h"
#include "model/key_value.h"

namespace hallpier::jobs {

// Writes that must be carried out together, and what they depend on.
struct WriteUnit {
  std::vector<model::Precondition> preconditions;
  std::vector<model::KeyWrite> writes;  // never empty
  std::vector<std::string> machines;    // that get a new placement by it
  WritePriority priority = WritePriority::kTaskEnd;
};

// Sorts the units by priority, keeping the order of those with the same, and fills transactions
// with them one after the other. Each transaction begins with `limits.preconditions`.
std::vector<Transaction> PackTransactions(std::vector<WriteUnit> units,
                                          const TransactionLimits& limits);

}  // namespace hallpier::jobs
