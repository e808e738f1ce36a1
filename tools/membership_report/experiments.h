// What the membership report measures, in fake time on simulated nodes: how soon a dead leader is
// noticed and followed, and how often a living one is wronged, with membership off and on.
#pragma once

#include <vector>

#include "experiment.h"

namespace hallpier::report {

std::vector<Experiment> MeasureMembership(const Effort& effort);

}  // namespace hallpier::report
