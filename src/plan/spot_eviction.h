// Graceful eviction from spot instances that the cloud is about to reclaim. Pure function.
#pragma once

#include <vector>

#include "plan/round_input.h"
#include "plan/round_result.h"

namespace hallpier::plan {

// Returns preemptions of the attempts on machines with a spot notice that can't end in time. A
// preempted task writes a checkpoint if there is time for one, and can restart elsewhere now rather
// than after the machine is found to be gone.
std::vector<Preemption> PlanSpotEvictions(const RoundInput& input);

}  // namespace hallpier::plan
