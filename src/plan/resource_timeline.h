// The free resources of one machine as a step function of time. Times are in seconds from the start
// of the round. Owned by the MachineAvailability of one round; not shared.
#pragma once

#include <cstddef>
#include <vector>

#include "plan/resources.h"

namespace hallpier::plan {

class ResourceTimeline {
 public:
  // `free`: the resources that are free now.
  explicit ResourceTimeline(const Resources& free) : steps_{{0, free}} {}

  // Adds `resources`, which are in use now, to the free resources from `time` on. A time in the
  // past counts as now.
  void Release(double time, const Resources& resources);
  // Returns the earliest time from which `need` is free for `duration_s` without interruption;
  // negative if there is none.
  double EarliestStart(const Resources& need, double duration_s) const;
  // Removes `resources` from the free resources for `duration_s` from `start` on. Requires that
  // they are free in that time.
  void Reserve(double start, double duration_s, const Resources& resources);

  const Resources& free_now() const { return steps_.front().free; }
  // Returns the time after which the free resources no longer change.
  double last_change() const { return steps_.back().time; }

 private:
  struct Step {
    double time;
    Resources free;  // from `time` until the next step
  };
  // Returns the index of the step that begins at `time`; adds the step if it does not exist.
  size_t StepAt(double time);

  std::vector<Step> steps_;  // sorted by time; the first is at 0
};

}  // namespace hallpier::plan
