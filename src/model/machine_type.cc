#include "model/machine_type.h"

#include <algorithm>

namespace hallpier::model {

const MachineType* FindMachineType(const std::vector<MachineType>& machine_types,
                                   std::string_view name) {
  auto found = std::find_if(machine_types.begin(), machine_types.end(),
                            [&](const MachineType& type) { return type.name == name; });
  return found == machine_types.end() ? nullptr : &*found;
}

}  // namespace hallpier::model
