// The machines of a round with their free resources over time, to which tasks are mapped. Built
// once per round and owned by it; refers to the worker registry.
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

// Assigns numbers to zones so that the mapping compares numbers rather than names.
class ZoneNumbers {
 public:
  // Returns the number of a zone; a new zone gets the next number.
  size_t NumberOf(const std::string& zone) {
    return numbers_.try_emplace(zone, numbers_.size()).first->second;
  }
  size_t size() const { return numbers_.size(); }

 private:
  std::map<std::string, size_t> numbers_;
};

// The machines that may run tasks now or are booting. All vectors are indexed by machine, in the
// order of the machines' names.
struct RoundMachines {
  std::vector<const fleet::Machine*> machines;
  std::vector<const model::MachineType*> machine_types;
  std::vector<size_t> owners;  // index of the block owner; 0 if no scope is set
  std::vector<MachineAvailability> availability;
  ZoneNumbers zones;
  double total_cpus = 0;
  // By team, the resources of attempts that are recorded as placed but reported as done.
  std::map<std::string, Resources> reported_done_by_team;

  size_t size() const { return machines.size(); }
};

RoundMachines CollectMachines(const RoundInput& input);

}  // namespace hallpier::plan
