// What tasks that wait need new machines for: input of the autoscaler. Pure functions.
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

// Machines that could take `tasks` tasks of the job, cheapest per task first; nothing if no type
// can.
std::optional<CapacityDemand> DemandFor(const model::JobSpec& spec, size_t tasks,
                                        const std::vector<model::MachineType>& machine_types);

// The part of `work_s` processor seconds that `cpus` processors can't do within `time_s`; 0 if they
// can do all.
double ShortfallShare(double work_s, double cpus, double time_s);

// Machines for the queued jobs from `first` on, which no round could look at yet: as many as would
// complete them by the time that new machines are up, and never more than their tasks could use at
// once. `total_cpus`: of the machines that are there or booting.
std::vector<CapacityDemand> DemandForUnmapped(const JobQueue& queue, size_t first,
                                              const PlanningContext& context, double total_cpus);

}  // namespace hallpier::plan
