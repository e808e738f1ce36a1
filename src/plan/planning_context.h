// What rounds are planned by: the settings, the cloud's machine types, and what is learned from one
// round to the next. Owned by the loop that runs the rounds, and used by that loop alone.
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
  // A job class whose service-level objective is to start at once, as learned from its jobs.
  struct LatencySensitiveClass {
    Resources need;    // of one task of the newest job
    double tasks = 0;  // usual size of a job
  };

  const config::Settings* settings = nullptr;          // never null in a round
  const config::OperatorOptions* operators = nullptr;  // never null in a round
  std::vector<model::MachineType> machine_types;
  std::map<std::string, LatencySensitiveClass> latency_sensitive_classes;  // by job class

  // Null if the cloud offers no type of that name.
  const model::MachineType* FindMachineType(const std::string& name) const;
};

// Seconds until a change on a machine is known and answered.
double ReactionTime(const PlanningContext& context);

// Seconds that a new machine takes until it is up, whatever its type: the longest nominal boot
// time, and never less than a heartbeat interval.
double LongestBootTime(const PlanningContext& context);

}  // namespace hallpier::plan
