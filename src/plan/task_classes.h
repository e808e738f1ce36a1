// Describes the waiting tasks of a job as a class for the mapping: the machines on which they may
// run, their run times there, and their zone constraints. One object per round; refers to the
// round's input and machines.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "plan/job_queue.h"
#include "plan/round_input.h"
#include "plan/round_machines.h"
#include "plan/task_mapping.h"

namespace hallpier::plan {

class TaskClassBuilder {
 public:
  // `machines`: Build() assigns numbers there to the zones of placed tasks that have none yet.
  TaskClassBuilder(const RoundInput& input, RoundMachines& machines)
      : input_(input), machines_(machines) {}

  TaskClass Build(const QueuedJob& queued);

 private:
  bool FailedOnAllMachines(const model::JobSpec& spec,
                           const std::set<std::string>& failed_on) const;
  std::vector<char> AllowedOwners(const jobs::Job& job) const;
  std::vector<double> RunTimes(const jobs::Job& job, const std::set<std::string>* failed_on) const;
  void ConstrainZones(const jobs::Job& job, TaskClass& task_class);

  const RoundInput& input_;
  RoundMachines& machines_;
};

}  // namespace hallpier::plan
