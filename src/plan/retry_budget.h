// Bounds the retries of jobs that fail on every machine: one task of such a job at a time, and all
// such jobs together within a small part of the processors. One object a round.
#pragma once

#include <cstddef>

#include "fleet/failure_tracker.h"
#include "jobs/job_table.h"

namespace hallpier::plan {

class RetryBudget {
 public:
  // `now`: steady time. `total_cpus`: of all machines of the round.
  RetryBudget(const fleet::FailureTracker& failures, double now, double total_cpus)
      : failures_(failures), now_(now), total_cpus_(total_cpus) {}

  // True if one more task of the job may be started; it is then charged to the budget.
  bool TryRetry(const jobs::Job& job);

 private:
  const fleet::FailureTracker& failures_;
  const double now_;
  const double total_cpus_;
  double used_cpus_ = 0;  // by the jobs that were granted a retry: the retry, and what they run
  size_t retries_ = 0;    // granted in this round
};

}  // namespace hallpier::plan
