// Checks whether a machine may run a job's tasks, regardless of its current load. Pure functions.
#pragma once

#include "fleet/worker_registry.h"
#include "model/job.h"
#include "model/machine_type.h"

namespace hallpier::plan {

// Returns true if the job's constraints (zone, machine types, spot instances) allow the machine.
bool AllowsMachine(const model::JobSpec& spec, const fleet::Machine& machine);

// Returns true if the machine, when empty, could run a task of the job: the job's constraints allow
// it and it is large enough.
bool IsFeasible(const model::JobSpec& spec, const fleet::Machine& machine,
                const model::MachineType& machine_type);

}  // namespace hallpier::plan
