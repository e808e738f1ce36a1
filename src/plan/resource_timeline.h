// The resources of one machine that are free from now on, as a step function of time. Times are
// seconds from the start of the round. Owned by the machine's slots of a round; not shared.
#pragma once

#include <cstddef>
#include <vector>

#include "plan/resources.h"

namespace hallpier::plan {

class ResourceTimeline {
 public:
  // `free`: what is free now, until something is released or reserved.
  explicit ResourceTimeline(const Resources& free) : steps_{{0, free}} {}

  // Something that uses `resources` now ends at `time`, and frees them for good. A time in the past
  // counts as now.
  void Release(double time, const Resources& resources);
  // The earliest start at which `need` is free for `duration_s` without a break; negative if it
  // never is.
  double EarliestStart(const Resources& need, double duration_s) const;
  // Takes `resources` from `start` on for `duration_s`. The caller has found them to be free.
  void Reserve(double start, double duration_s, const Resources& resources);

  const Resources& free_now() const { return steps_.front().free; }
  // From this time on nothing changes any more.
  double last_change() const { return steps_.back().time; }

 private:
  struct Step {
    double time;
    Resources free;  // from `time` until the next step
  };
  // The index of the step that begins at `time`, which is added if there is none.
  size_t StepAt(double time);

  std::vector<Step> steps_;  // by time; the first is at 0
};

}  // namespace hallpier::plan
