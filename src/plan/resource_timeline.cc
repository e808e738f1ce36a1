#include "plan/resource_timeline.h"

#include <algorithm>

namespace hallpier::plan {

size_t ResourceTimeline::StepAt(double time) {
  size_t next = steps_.size();
  while (next > 0 && steps_[next - 1].time > time) --next;
  // The first step is at 0 and `time` is never negative, so there is always a preceding step.
  if (next > 0 && steps_[next - 1].time == time) return next - 1;
  Step step = steps_[next - 1];
  step.time = time;
  steps_.insert(steps_.begin() + static_cast<ptrdiff_t>(next), step);
  return next;
}

void ResourceTimeline::Release(double time, const Resources& resources) {
  for (size_t i = StepAt(std::max(time, 0.0)); i < steps_.size(); ++i) {
    steps_[i].free += resources;
  }
}

double ResourceTimeline::EarliestStart(const Resources& need, double duration_s) const {
  for (size_t i = 0; i < steps_.size(); ++i) {
    if (!steps_[i].free.Fits(need)) continue;
    const double end = steps_[i].time + duration_s;
    size_t j = i + 1;
    while (j < steps_.size() && steps_[j].time < end && steps_[j].free.Fits(need)) ++j;
    if (j == steps_.size() || steps_[j].time >= end) return steps_[i].time;
    i = j;  // `need` does not fit at step j, so the search continues after that step
  }
  return -1;
}

void ResourceTimeline::Reserve(double start, double duration_s, const Resources& resources) {
  const double end = start + duration_s;
  StepAt(end);
  for (size_t i = StepAt(start); i < steps_.size() && steps_[i].time < end; ++i) {
    steps_[i].free -= resources;
  }
}

}  // namespace hallpier::plan
