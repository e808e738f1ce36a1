#include "plan/feasibility.h"

#include "plan/resources.h"

namespace hallpier::plan {

bool AllowsMachine(const model::JobSpec& spec, const fleet::Machine& machine) {
  if (machine.spot && !spec.spot) return false;
  if (!spec.zone.empty() && spec.zone != machine.zone) return false;
  return spec.AllowsMachineType(machine.machine_type);
}

bool IsFeasible(const model::JobSpec& spec, const fleet::Machine& machine,
                const model::MachineType& machine_type) {
  return AllowsMachine(spec, machine) && CapacityOf(machine_type).Fits(RequirementOf(spec));
}

}  // namespace hallpier::plan
