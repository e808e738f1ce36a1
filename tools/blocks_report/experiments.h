// What the blocks report measures, in fake time on simulated nodes, against the number of blocks:
// how long tasks wait, what lies idle, what is written, and how long a lost block stands still.
#pragma once

#include <vector>

#include "experiment.h"

namespace hallpier::report {

std::vector<Experiment> MeasureBlocks(const Effort& effort);

}  // namespace hallpier::report
