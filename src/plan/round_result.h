// What a round decides. Plain data, handed to whoever runs the round, which records and carries it
// out.
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

// Tasks that new machines would serve sooner than those that are there or booting.
struct CapacityDemand {
  struct Choice {
    std::string machine_type;
    size_t tasks_per_machine = 1;  // tasks that a machine of the type holds
  };
  std::vector<Choice> choices;  // cheapest per task first
  std::string zone;             // empty: any
  bool spot = true;             // may be a spot instance
  size_t tasks = 0;
};

// A running attempt that is to be stopped.
struct Preemption {
  model::TaskId task;
  uint64_t attempt = 0;
  std::string machine;
  double grace_s = 0;   // time to write a checkpoint; 0: it is stopped at once
  std::string for_job;  // who gets the resources; empty: the cloud is about to take the machine
};

struct RoundResult {
  std::vector<jobs::TaskTransition> placements;
  std::vector<Preemption> preemptions;
  std::vector<CapacityDemand> demands;
  // Jobs that fail on every machine, of which one more task is started; a job for each such task.
  std::vector<std::string> retried_jobs;
  // Tasks that wait and are within their teams' quotas, placed by this round or not.
  size_t waiting_tasks = 0;
  // With a scope, by holder and team: what the mapping places there, now or once it is free.
  std::vector<std::map<std::string, Resources>> planned_by_holder;
  // By team, the first job in the order of which the team's quota keeps tasks waiting.
  std::map<std::string, std::string> first_job_over_quota;
};

}  // namespace hallpier::plan
