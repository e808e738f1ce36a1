// Selects running tasks of later priority tiers to stop where that lets waiting tasks complete
// sooner than the mapping does. One planner per round; refers to the round's input, machines, queue
// and order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

#include "plan/job_order.h"
#include "plan/job_queue.h"
#include "plan/resources.h"
#include "plan/round_input.h"
#include "plan/round_machines.h"
#include "plan/round_result.h"
#include "plan/task_mapping.h"

namespace hallpier::plan {

// Start and completion that the mapping gives a task that can't start now, in seconds from now;
// infinite if the mapping left the task out.
struct ExpectedStart {
  double start = std::numeric_limits<double>::infinity();
  double completion = std::numeric_limits<double>::infinity();
};

class PreemptionPlanner {
 public:
  PreemptionPlanner(const RoundInput& input, const RoundMachines& machines, const JobQueue& queue,
                    const JobOrder& order)
      : input_(input), machines_(machines), queue_(queue), order_(order) {}

  // Returns the attempts to stop for the waiting tasks of a job. `expected` holds the start of each
  // task without preemption. Each machine is evaluated once for the class, and again only after a
  // stop on it was planned. No attempt is stopped twice in a round.
  std::vector<Preemption> PlanPreemptions(const QueuedJob& queued, const TaskClass& task_class,
                                          std::vector<ExpectedStart> expected);

 private:
  // A running attempt that may be stopped.
  struct Victim {
    model::TaskId task;
    uint64_t attempt = 0;
    const jobs::Job* job = nullptr;
    int tier = 0;
    double ran_s = 0;
    Resources need;
    bool stopped = false;  // chosen in this round
  };
  struct VictimStop {
    Victim* victim = nullptr;
    double lost_s = 0;
    double grace_s = 0;
  };
  // The effect of stopping some attempts on a machine for one task.
  struct EvictionPlan {
    double cost_s = 0;     // seconds of lost work
    Resources free_after;  // free resources of the machine once the task runs there
  };
  struct PreemptionOption {
    double cost_s = 0;
    double completion = 0;
    size_t machine = 0;
    Resources free;  // free resources of the machine before the stops
  };

  bool MayPreempt(const QueuedJob& queued) const;
  double MaxWait(const QueuedJob& queued) const;
  std::vector<Victim>& VictimsOn(size_t machine);
  std::vector<Victim> FindVictims(const fleet::Machine& machine) const;
  bool IsVictimFor(const QueuedJob& queued, const Victim& victim) const;
  std::optional<EvictionPlan> ChooseVictims(const QueuedJob& queued, const TaskClass& task_class,
                                            size_t machine, const Resources& free);
  double CompletionAfterPreemption(const TaskClass& task_class, size_t machine) const;
  std::optional<PreemptionOption> EvaluateMachine(const QueuedJob& queued,
                                                  const TaskClass& task_class, size_t machine,
                                                  const Resources& free);

  const RoundInput& input_;
  const RoundMachines& machines_;
  const JobQueue& queue_;
  const JobOrder& order_;
  std::vector<std::vector<Victim>> victims_;  // by machine; filled at first use
  // Result of the last ChooseVictims(); a member so that its memory is reused.
  std::vector<VictimStop> chosen_stops_;
};

}  // namespace hallpier::plan
