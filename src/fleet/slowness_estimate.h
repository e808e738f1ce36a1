// Estimates how much slower a machine runs tasks than other machines do.
//
// Each task of a job with a known mean run time gives at most one sample: its run time divided by
// the mean. Works on PerformanceState of a Machine; does no I/O.
#pragma once

#include "fleet/machine.h"
#include "jobs/job_table.h"

namespace hallpier::fleet {

// Takes in the run times of the tasks that the machine has reported.
void UpdateSlowness(Machine& machine, const jobs::JobTable& job_table);

// True if the machine takes so much longer than others that it is better replaced.
bool IsSlow(const Machine& machine);

}  // namespace hallpier::fleet
