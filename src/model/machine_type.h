// Machine types that the cloud offers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hallpier::model {

struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  double fetch_gb_per_s = 0;  // image download rate
  double price = 0;           // per hour
  double spot_price = 0;      // per hour
  double boot_s = 0;          // nominal time from the request to the first heartbeat
  std::vector<std::string> zones;
};

// Returns null if no type has that name.
const MachineType* FindMachineType(const std::vector<MachineType>& machine_types,
                                   std::string_view name);

}  // namespace hallpier::model
