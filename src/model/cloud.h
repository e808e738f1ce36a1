// Requests from the leader to the cloud, and the cloud's listing of rented machines.
#pragma once

#include <string>
#include <vector>

namespace hallpier::model {

struct ScaleOutRequest {
  std::string request;  // unique name; never reused, so that repeating a request is idempotent
  std::string machine_type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

enum class CloudMachineState { kBooting, kRunning, kFailed };

struct CloudMachine {
  std::string machine;
  std::string endpoint;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  CloudMachineState state = CloudMachineState::kBooting;
  double age_s = 0;  // time since the machine was requested
};

// One page of the cloud's listing, which may be up to `list_lag_s` (settings) out of date.
struct CloudMachineList {
  std::vector<CloudMachine> machines;
  bool more = false;  // true if another page follows
};

}  // namespace hallpier::model
