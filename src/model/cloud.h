// What the leader asks of the cloud, and how the cloud lists machines.
#pragma once

#include <string>
#include <vector>

namespace hallpier::model {

struct ScaleOutRequest {
  std::string request;  // its own name, unique for ever: a repeated request is idempotent
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
  double age_s = 0;  // since it was requested
};

// One page of the cloud's list, which may lag behind by `list_lag_s` of the settings.
struct CloudMachineList {
  std::vector<CloudMachine> machines;
  bool more = false;  // there is another page
};

}  // namespace hallpier::model
