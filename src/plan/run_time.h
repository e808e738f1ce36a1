// Predicted run times of tasks, whole and remaining. Pure functions.
#pragma once

#include <cstdint>
#include <string>

#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "model/task.h"
#include "plan/round_input.h"

namespace hallpier::plan {

// What stopping a task takes beyond its checkpoint, as a part of the reaction time.
inline constexpr double kStopReactions = 1.0 / 3;

// The phase of an attempt as its machine reports it; null if the machine reports no such attempt,
// or another attempt of the task.
const fleet::ReportedTask* FindReported(const fleet::Machine& machine, const model::TaskId& task,
                                        uint64_t attempt);

// Expected run time of a job's task on a machine type, seconds: the learned mean there, else the
// mean over all types, else the owner's estimate. A service is taken to run for very long.
double PredictRunTime(const jobs::Job& job, const std::string& machine_type);

// Seconds until a placed attempt frees its resources.
double RemainingTime(const RoundInput& input, const jobs::Job& job, const fleet::Machine& machine,
                     const model::TaskId& task, uint64_t attempt);

}  // namespace hallpier::plan
