// Computes the demand of waiting tasks for new machines, which is the autoscaler's input. Pure
// functions.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "model/job.h"
#include "model/machine_type.h"
#include "plan/job_queue.h"
#include "plan/planning_context.h"
#include "plan/round_result.h"

namespace hallpier::plan {

// Returns the demand of `tasks` tasks of a job, with the suitable machine types sorted by price per
// task, cheapest first. Returns std::nullopt if no machine type can run the tasks.
std::optional<CapacityDemand> DemandFor(const model::JobSpec& spec, size_t tasks,
                                        const std::vector<model::MachineType>& machine_types);

// Returns the fraction of `work_s` processor seconds that `cpus` processors can't complete within
// `time_s`; 0 if they can complete all of it.
double ShortfallShare(double work_s, double cpus, double time_s);

// Returns the demand of the queued jobs from index `first` on, which the round did not map. The
// demand covers the work that the machines of the round can't complete by the time new machines are
// up, and never more than the tasks could use at once. `total_cpus`: the processors of all machines
// that are up or booting.
std::vector<CapacityDemand> DemandForUnmapped(const JobQueue& queue, size_t first,
                                              const PlanningContext& context, double total_cpus);

}  // namespace hallpier::plan
