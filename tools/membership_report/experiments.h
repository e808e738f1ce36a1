// Experiments of the membership report, in fake time on simulated nodes, with membership off and
// on: the time to detect a failed node and to replace a failed leader, and the rate of false
// suspicions and false failure declarations.
#pragma once

#include <vector>

#include "experiment.h"

namespace hallpier::report {

std::vector<Experiment> MeasureMembership(const RunOptions& run_options);

}  // namespace hallpier::report
