// Describes the waiting tasks of a job as a class for the mapping: on which machines they may run
// and for how long, and how they are spread over zones. One object a round; refers to the round's
// input and machines.
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
  // `machines`: zones of placed tasks that have no number yet get one there.
  TaskClassBuilder(const RoundInput& input, RoundMachines& machines)
      : input_(input), machines_(machines) {}

  TaskClass Build(const QueuedJob& queued);

 private:
  bool FailedOnAllMachines(const model::JobSpec& spec,
                           const std::set<std::string>& failed_on) const;
  std::vector<char> HoldersAllowed(const jobs::Job& job) const;
  std::vector<double> RunTimes(const jobs::Job& job, const std::set<std::string>* failed_on) const;
  void ConstrainZones(const jobs::Job& job, TaskClass& task_class);

  const RoundInput& input_;
  RoundMachines& machines_;
};

}  // namespace hallpier::plan
