// The decisions of a round. Plain data for the caller, which records and executes them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jobs/job_table.h"
#include "model/task.h"
#include "plan/resources.h"

namespace hallpier::plan {

// Demand for new machines: tasks that new machines would serve sooner than the machines that are up
// or booting.
struct CapacityDemand {
  struct Choice {
    std::string machine_type;
    size_t tasks_per_machine = 1;  // tasks that fit on one machine of the type
  };
  std::vector<Choice> choices;  // cheapest per task first
  std::string zone;             // empty if any zone will do
  bool spot = true;             // true if spot instances are allowed
  size_t tasks = 0;
};

// A running attempt that is to be stopped.
struct Preemption {
  model::TaskId task;
  uint64_t attempt = 0;
  std::string machine;
  double grace_s = 0;   // time to write a checkpoint; 0 to stop it immediately
  std::string for_job;  // job that gets the resources; empty if the cloud reclaims the machine
};

struct RoundResult {
  std::vector<jobs::TaskTransition> placements;
  std::vector<Preemption> preemptions;
  std::vector<CapacityDemand> demands;
  // Jobs that fail on every machine and of which this round starts one more task; one entry per
  // task.
  std::vector<std::string> retried_jobs;
  // Waiting tasks within their teams' quotas, including those that this round places.
  size_t waiting_tasks = 0;
  // If a scope is set, by owner and team: the resources of all mapped tasks, whether they start now
  // or later.
  std::vector<std::map<std::string, Resources>> planned_by_owner;
  // By team, the id of the first job in queue order with tasks that exceed the team's quota.
  std::map<std::string, std::string> first_job_over_quota;
};

}  // namespace hallpier::plan
