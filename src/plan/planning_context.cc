#include "plan/planning_context.h"

#include <algorithm>

#include "config/operator_options.h"

namespace hallpier::plan {

const model::MachineType* PlanningContext::FindMachineType(const std::string& name) const {
  return model::FindMachineType(machine_types, name);
}

double ReactionTime(const PlanningContext& context) {
  return config::ReactionTimeS(*context.settings, *context.operator_options);
}

double LongestBootTime(const PlanningContext& context) {
  double boot_s = context.settings->heartbeat_interval_s;
  for (const model::MachineType& machine_type : context.machine_types) {
    boot_s = std::max(boot_s, machine_type.boot_s);
  }
  return boot_s;
}

}  // namespace hallpier::plan
