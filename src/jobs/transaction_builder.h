// Converts the transitions of a round into transactions within the state service's limits. Pure
// functions of the job table; no I/O.
//
// The steps: jobs/job_changes.h collects the changes per job, jobs/final_records.h decides which
// jobs become final, jobs/write_priority.h ranks the writes, jobs/transaction_packer.h packs them.
#pragma once

#include <vector>

#include "jobs/job_table.h"
#include "jobs/transaction.h"

namespace hallpier::jobs {

// Returns the transactions of a round in the order in which they must be sent.
//
// Skips transitions that the records no longer allow. All changes of a task group are combined in
// one write. A job whose last task is done, or that is cancelled and has no placed task left,
// becomes final in the same transaction.
//
// A cancelled job becomes final only after all its dependents: while a dependent is unfinished, any
// leader derives from the record of the cancelled job why the dependent is cancelled.
std::vector<Transaction> BuildTransactions(const JobTable& job_table,
                                           const std::vector<TaskTransition>& transitions,
                                           const TransactionLimits& limits,
                                           const VersionLookup& version);

}  // namespace hallpier::jobs
