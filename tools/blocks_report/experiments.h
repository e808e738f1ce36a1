// Experiments of the blocks report, in fake time on simulated nodes, over the number of blocks: the
// waiting time of tasks, unused limit, writes, conflicts, starts over the limit, and the time until
// the machines of a failed owner are used again.
#pragma once

#include <vector>

#include "experiment.h"

namespace hallpier::report {

std::vector<Experiment> MeasureBlocks(const RunOptions& run_options);

}  // namespace hallpier::report
