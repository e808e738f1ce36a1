// Which jobs become final in a round, in which order, and with which writes. Does no I/O.
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

// How the job ends once its changes are written: as done if all its tasks are, as cancelled if it
// is and no task is placed any more. Nothing if it goes on.
std::optional<model::JobPhase> FinalPhase(const JobChanges& changes);

// Cancelled jobs of a round, by whether they can become final in it.
struct CancellationOrder {
  // These can. Each comes after all of its dependents.
  std::vector<std::string> can_end;
  // These have a dependent that can't become final yet. As long as a dependent is unfinished, the
  // record of the job that it awaits is what says, to any later leader, why it is cancelled.
  std::set<std::string> must_wait;
};
CancellationOrder OrderCancelledJobs(const JobTable& job_table, const RoundChanges& changes);

// The writes that make a job final: its final record is written, its own record and the keys of its
// task groups are dropped. Nothing if the groups that the round changes do not fit one transaction.
std::optional<WriteUnit> BuildFinalRecordUnit(const JobTable& job_table, const std::string& id,
                                              const JobChanges& changes, model::JobPhase phase,
                                              const TransactionLimits& limits,
                                              const VersionLookup& version);

}  // namespace hallpier::jobs
