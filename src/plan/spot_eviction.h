// Graceful eviction from spot instances that the cloud is about to take back. Pure.
#pragma once

#include <vector>

#include "plan/round_input.h"
#include "plan/round_result.h"

namespace hallpier::plan {

// Preempts what runs on machines with a spot notice and can't end in time: it writes a checkpoint,
// if there is time for one, and starts again elsewhere now rather than after the machine is found
// to be gone.
std::vector<Preemption> EvictFromReclaimedMachines(const RoundInput& input);

}  // namespace hallpier::plan
