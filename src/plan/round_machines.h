// The machines of a round with their free resources over time: the bins that tasks are packed into.
// Built once a round and owned by it; refers to the worker registry.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "fleet/worker_registry.h"
#include "model/machine_type.h"
#include "plan/resources.h"
#include "plan/round_input.h"
#include "plan/task_mapping.h"

namespace hallpier::plan {

// Numbers the zones, so that the mapping compares numbers rather than names.
class ZoneNumbers {
 public:
  // A zone that has no number yet gets the next one.
  size_t NumberOf(const std::string& zone) {
    return numbers_.try_emplace(zone, numbers_.size()).first->second;
  }
  size_t size() const { return numbers_.size(); }

 private:
  std::map<std::string, size_t> numbers_;
};

// Machines that may run tasks now, or are booting. All vectors are by the machine's index, in the
// order of the machines' names.
struct RoundMachines {
  std::vector<const fleet::Machine*> machines;
  std::vector<const model::MachineType*> machine_types;
  std::vector<size_t> holders;  // 0 where machines are not divided
  std::vector<MachineAvailability> slots;
  ZoneNumbers zones;
  double total_cpus = 0;
  // By team: recorded as placed, but reported as done.
  std::map<std::string, Resources> ended_by_team;

  size_t size() const { return machines.size(); }
};

RoundMachines CollectMachines(const RoundInput& input);

}  // namespace hallpier::plan
