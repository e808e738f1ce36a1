// What a transaction says of jobs that it makes final. Does no I/O.
#pragma once

#include <string>
#include <vector>

#include "jobs/job_table.h"
#include "jobs/transaction_builder.h"
#include "model/key_value.h"

namespace hallpier::controller {

// Takes the final records among these writes into the table. A job's final record is written with
// the deletion of its record, so that jobs which depend on it need no read of their own.
void RecordFinishedJobs(const std::vector<model::KeyWrite>& writes, jobs::JobTable& job_table);

// Log lines on the jobs that a transaction makes final. To be taken before it is sent: the watch
// may delete the jobs before the answer comes. `time_of_day`: seconds since the epoch.
std::vector<std::string> DescribeFinishedJobs(const jobs::Transaction& transaction,
                                              const jobs::JobTable& job_table, double time_of_day);

}  // namespace hallpier::controller
