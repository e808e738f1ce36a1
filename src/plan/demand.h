// What tasks that wait would need new machines for. Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "model/job.h"
#include "model/machine_type.h"
#include "plan/round.h"

namespace hallpier::plan {

// Machines that could take tasks of the job, cheapest per task first; nothing if no type can.
std::optional<CapacityDemand> DemandFor(const model::JobSpec& spec, size_t tasks,
                                        const std::vector<model::MachineType>& types);

// The part of `work_s` processor seconds that `cpus` processors can't do in `time_s`; 0 if they
// can.
double MissingShare(double work_s, double cpus, double time_s);

}  // namespace hallpier::plan
