// Preemption: stops running tasks of lower rank where that lets waiting tasks start clearly sooner
// than the mapping does. One planner a round; refers to the round's input, machines, queue and
// order.
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

// When the mapping lets a task start that can't start now, in seconds from now; by default never.
struct ExpectedStart {
  double start = std::numeric_limits<double>::infinity();
  double completion = std::numeric_limits<double>::infinity();
};

class PreemptionPlanner {
 public:
  PreemptionPlanner(const RoundInput& input, const RoundMachines& machines, const JobQueue& queue,
                    const JobOrder& order)
      : input_(input), machines_(machines), queue_(queue), order_(order) {}

  // What is stopped for the waiting tasks of a job. `expected`: what the mapping gives them
  // otherwise. Each machine is evaluated once for the class, and again only after something on it
  // was stopped. Nothing is stopped twice in a round.
  std::vector<Preemption> PreemptFor(const QueuedJob& queued, const TaskClass& task_class,
                                     std::vector<ExpectedStart> expected);

 private:
  // A running attempt that could be stopped.
  struct Victim {
    model::TaskId task;
    uint64_t attempt = 0;
    const jobs::Job* job = nullptr;
    int tier = 0;
    double ran_s = 0;
    Resources need;
    bool stopped = false;  // in this round
  };
  struct Stop {
    Victim* victim = nullptr;
    double lost_s = 0;
    double grace_s = 0;
  };
  // That some attempts on a machine are stopped for a task.
  struct Eviction {
    double cost_s = 0;     // seconds of work that are lost
    Resources free_after;  // on the machine, once the task runs there
  };
  struct Offer {
    double cost_s = 0;
    double completion = 0;
    size_t machine = 0;
    Resources free;  // on the machine, before anything is stopped
  };

  bool MayPreempt(const QueuedJob& queued) const;
  double Patience(const QueuedJob& queued) const;
  std::vector<Victim>& VictimsOn(size_t machine);
  std::vector<Victim> FindVictims(const fleet::Machine& machine) const;
  bool IsVictimFor(const QueuedJob& queued, const Victim& victim) const;
  std::optional<Eviction> ChooseStops(const QueuedJob& queued, const TaskClass& task_class,
                                      size_t machine, const Resources& free);
  double CompletionAfterStops(const TaskClass& task_class, size_t machine) const;
  std::optional<Offer> OfferOf(const QueuedJob& queued, const TaskClass& task_class, size_t machine,
                               const Resources& free);

  const RoundInput& input_;
  const RoundMachines& machines_;
  const JobQueue& queue_;
  const JobOrder& order_;
  std::vector<std::vector<Victim>> victims_;  // by machine; empty until they are first needed
  std::vector<Stop> stops_;  // of the last ChooseStops(); a member, so that its memory is reused
};

}  // namespace hallpier::plan
