// Limits the retries of jobs that fail on every machine: one task of such a job at a time, and a
// small share of all processors for such jobs together. One object per round.
#pragma once

#include <cstddef>

#include "fleet/failure_tracker.h"
#include "jobs/job_table.h"

namespace hallpier::plan {

class RetryBudget {
 public:
  // `now`: time of the steady clock in seconds. `total_cpus`: processors of all machines of the
  // round.
  RetryBudget(const fleet::FailureTracker& failures, double now, double total_cpus)
      : failures_(failures), now_(now), total_cpus_(total_cpus) {}

  // Returns true if one more task of the job may be started, and then charges it to the budget.
  bool TryRetry(const jobs::Job& job);

 private:
  const fleet::FailureTracker& failures_;
  const double now_;
  const double total_cpus_;
  double used_cpus_ = 0;  // processors of the jobs that were granted a retry, including the retries
  size_t retries_ = 0;    // retries granted in this round
};

}  // namespace hallpier::plan
