// Whether a machine may run a job's tasks at all, whatever runs there now. Pure functions.
#pragma once

#include "fleet/worker_registry.h"
#include "model/job.h"
#include "model/machine_type.h"

namespace hallpier::plan {

// True if the job's constraints (zone, machine types, spot instances) allow the machine.
bool AllowsMachine(const model::JobSpec& spec, const fleet::Machine& machine);

// True if the machine, were it empty, could run a task of the job: it is allowed and large enough.
bool IsFeasible(const model::JobSpec& spec, const fleet::Machine& machine,
                const model::MachineType& machine_type);

}  // namespace hallpier::plan
