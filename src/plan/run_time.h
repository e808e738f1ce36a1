// Predicts the total and remaining run times of tasks. Pure functions.
#pragma once

#include <cstdint>
#include <string>

#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "model/task.h"
#include "plan/round_input.h"

namespace hallpier::plan {

// Time to stop a task, in addition to its checkpoint, as a fraction of the reaction time.
inline constexpr double kStopReactionRatio = 1.0 / 3;

// Returns the state of the attempt as reported by its machine; null if the machine reports no
// attempt of the task, or a different one.
const fleet::ReportedTask* FindReported(const fleet::Machine& machine, const model::TaskId& task,
                                        uint64_t attempt);

// Returns the expected run time, in seconds, of a task of the job on a machine type: the observed
// mean on that type, else the mean over all types, else the estimate in the job's specification.
// For a service, returns more than a day.
double PredictRunTime(const jobs::Job& job, const std::string& machine_type);

// Returns the seconds until a placed attempt frees its resources.
double RemainingTime(const RoundInput& input, const jobs::Job& job, const fleet::Machine& machine,
                     const model::TaskId& task, uint64_t attempt);

}  // namespace hallpier::plan
