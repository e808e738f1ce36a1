// Turns the transitions of a round into transactions within the state service's limits. Pure
// functions of the job table; no I/O.
//
// The parts: jobs/job_changes.h collects what changes per job, jobs/final_records.h decides which
// jobs become final, jobs/write_priority.h ranks the writes, jobs/transaction_packer.h packs them.
#pragma once

#include <vector>

#include "jobs/job_table.h"
#include "jobs/transaction.h"

namespace hallpier::jobs {

// Builds the transactions of a round, in the order in which they are to be sent.
//
// Transitions that the records no longer allow are left out. All changes of one task group go into
// one write. A job whose last task is done, or that is cancelled and has nothing placed any more,
// becomes final in the same transaction.
//
// A cancelled job becomes final only after all jobs that depend on it: as long as one of these is
// unfinished, the record of the cancelled job says why it is cancelled too, whoever leads.
std::vector<Transaction> BuildTransactions(const JobTable& job_table,
                                           const std::vector<TaskTransition>& transitions,
                                           const TransactionLimits& limits,
                                           const VersionLookup& version);

}  // namespace hallpier::jobs
