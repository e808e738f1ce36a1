// Keeps jobs from starving: whatever the order says, a steady stream of heavier, smaller or more
// urgent work must not keep a job out for ever. Once a job has waited for the operators' bound, the
// oldest such jobs are served first, with a set share of all processors. One object a round.
#pragma once

#include <cstddef>

#include "jobs/job_table.h"
#include "plan/round_input.h"

namespace hallpier::plan {

class StarvationGuard {
 public:
  // `total_cpus`: of all machines of the round.
  StarvationGuard(const RoundInput& input, double total_cpus)
      : input_(input), total_cpus_(total_cpus) {}

  // How many tasks of a job that waits are served first; 0: the job has its usual place in the
  // order. Jobs are to be asked for oldest first: each uses up part of the share.
  size_t TasksServedFirst(const jobs::Job& job);

 private:
  const RoundInput& input_;
  const double total_cpus_;
  double used_cpus_ = 0;  // by the jobs that have waited beyond the bound
};

}  // namespace hallpier::plan
