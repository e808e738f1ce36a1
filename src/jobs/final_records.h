// Decides which jobs become final in a round, in which order and with which writes. Does no I/O.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_changes.h"
#include "jobs/job_table.h"
#include "jobs/transaction.h"
#include "jobs/transaction_packer.h"

namespace hallpier::jobs {

// Returns the final phase that the job reaches once its changes are written: kDone if all its tasks
// are done; kCancelled if it is cancelled and no task is placed any more. std::nullopt if the job
// is not final.
std::optional<model::JobPhase> FinalPhase(const JobChanges& changes);

// The cancelled jobs of a round, divided by whether they can become final in it.
struct CancellationOrder {
  // Jobs that can become final, ordered so that each comes after all of its dependents.
  std::vector<std::string> finalizable;
  // Jobs with a dependent that can't become final yet. While a dependent is unfinished, the record
  // of the job that it awaits is kept: any later leader derives from it why the dependent is
  // cancelled.
  std::set<std::string> deferred;
};
CancellationOrder OrderCancelledJobs(const JobTable& job_table, const RoundChanges& changes);

// Returns the writes that make a job final: its final record is written, its job record and the
// keys of its task groups are deleted. std::nullopt if the keys of the groups that the round
// changes do not fit in one transaction.
std::optional<WriteUnit> BuildFinalRecordUnit(const JobTable& job_table, const std::string& id,
                                              const JobChanges& changes, model::JobPhase phase,
                                              const TransactionLimits& limits,
                                              const VersionLookup& version);

}  // namespace hallpier::jobs
