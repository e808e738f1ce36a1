// Keeps resources free for future tasks of latency-sensitive job classes: a task whose objective is
// an immediate start can't wait until resources become free. The requirements of these classes are
// learned over all rounds and kept in the planning context.
#pragma once

#include <vector>

#include "jobs/job_table.h"
#include "plan/planning_context.h"
#include "plan/task_mapping.h"

namespace hallpier::plan {

// Updates the requirements of the job's class if the class is latency-sensitive, that is, if the
// job has urgent or higher priority and an objective to start within a few heartbeat intervals.
// Requires an unfinished job.
void LearnLatencySensitiveClass(PlanningContext& context, const jobs::Job& job);

// Reserves resources for a few jobs of each latency-sensitive class. Each class gets at most the
// share of `total_cpus` that the operators configured (`urgent_reserve`).
void ReserveForLatencySensitive(const PlanningContext& context, double total_cpus,
                                std::vector<MachineAvailability>& machines);

}  // namespace hallpier::plan
