// Prevents starvation: regardless of the job order, a steady stream of heavier, smaller or more
// urgent work must not delay a job indefinitely. Jobs that have waited for the operators' bound are
// served first, oldest first, within a configured share of all processors. One object per round.
#pragma once

#include <cstddef>

#include "jobs/job_table.h"
#include "plan/round_input.h"

namespace hallpier::plan {

class StarvationGuard {
 public:
  // `total_cpus`: processors of all machines of the round.
  StarvationGuard(const RoundInput& input, double total_cpus)
      : input_(input), total_cpus_(total_cpus) {}

  // Returns how many tasks of a waiting job are served first; 0 if the job keeps its usual place in
  // the order. Must be called for the oldest job first, since each call uses up part of the share.
  size_t TasksServedFirst(const jobs::Job& job);

 private:
  const RoundInput& input_;
  const double total_cpus_;
  double used_cpus_ = 0;  // by jobs that have waited beyond the bound
};

}  // namespace hallpier::plan
