// Estimates how much slower a machine runs tasks than other machines.
//
// Each task of a job with a known mean run time contributes at most one sample: its run time
// divided by the mean. Operates on Machine::performance; does no I/O.
#pragma once

#include "fleet/machine.h"
#include "jobs/job_table.h"

namespace hallpier::fleet {

// Updates the estimate with the run times of the machine's reported tasks.
void UpdateSlowness(Machine& machine, const jobs::JobTable& job_table);

// True if the machine is so much slower than others that it should be replaced.
bool IsSlow(const Machine& machine);

}  // namespace hallpier::fleet
