// The inputs that all rounds share: the settings, the cloud's machine types, and the estimates that
// are learned over several rounds. Owned by the loop that runs the rounds and used only by it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/operator_options.h"
#include "config/settings.h"
#include "model/machine_type.h"
#include "plan/resources.h"

namespace hallpier::plan {

struct PlanningContext {
  // A job class whose service-level objective is an immediate start. Learned from its jobs.
  struct LatencySensitiveClass {
    Resources need;    // requirement of one task of the newest job
    double tasks = 0;  // moving average of the number of tasks per job
  };

  const config::Settings* settings = nullptr;                 // never null in a round
  const config::OperatorOptions* operator_options = nullptr;  // never null in a round
  std::vector<model::MachineType> machine_types;
  std::map<std::string, LatencySensitiveClass> latency_sensitive_classes;  // by job class

  // Returns null if the cloud offers no machine type of that name.
  const model::MachineType* FindMachineType(const std::string& name) const;
};

// Returns the seconds that it takes to learn of a change on a machine and to respond to it.
double ReactionTime(const PlanningContext& context);

// Returns the assumed boot time, in seconds, of a new machine of whatever type: the longest nominal
// boot time, and at least one heartbeat interval.
double LongestBootTime(const PlanningContext& context);

}  // namespace hallpier::plan
