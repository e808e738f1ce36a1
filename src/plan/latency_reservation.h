// Keeps resources free for tasks of latency-sensitive job classes that are yet to come: a task
// whose objective is to start at once can't wait for a slot. What such classes need is learned in
// the context, over all rounds.
#pragma once

#include <vector>

#include "jobs/job_table.h"
#include "plan/planning_context.h"
#include "plan/task_mapping.h"

namespace hallpier::plan {

// Learns from an unfinished job if its class is latency-sensitive: urgent work whose tasks are to
// start within a few heartbeat intervals.
void LearnLatencySensitiveClass(PlanningContext& context, const jobs::Job& job);

// Reserves slots for a few jobs of each latency-sensitive class, within the operators' share of
// `total_cpus`.
void ReserveForLatencySensitive(const PlanningContext& context, double total_cpus,
                                std::vector<MachineAvailability>& slots);

}  // namespace hallpier::plan
