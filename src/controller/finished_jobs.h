// Extracts the jobs that a transaction makes final. Does no I/O.
#pragma once

#include <string>
#include <vector>

#include "jobs/job_table.h"
#include "jobs/transaction_builder.h"
#include "model/key_value.h"

namespace hallpier::controller {

// Adds the final records among these writes to the table. The transaction that deletes a job's
// record also writes its final record, so the outcome need not be read separately for dependent
// jobs.
void RecordFinishedJobs(const std::vector<model::KeyWrite>& writes, jobs::JobTable& job_table);

// Returns log lines for the jobs that a transaction makes final. Must be called before the
// transaction is sent: the watch may remove the jobs from the table before the response arrives.
// `time_of_day` is in seconds since the epoch.
std::vector<std::string> DescribeFinishedJobs(const jobs::Transaction& transaction,
                                              const jobs::JobTable& job_table, double time_of_day);

}  // namespace hallpier::controller
