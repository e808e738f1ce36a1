#include "plan/duplex.h"

#include <algorithm>
#include <limits>

namespace hallpier::plan {
namespace {
constexpr double kEpsilon = 1e-6;
}  // namespace

Room& Room::operator+=(const Room& o) {
  cpus += o.cpus;
  gpus += o.gpus;
  memory_gb += o.memory_gb;
  return *this;
}

Room& Room::operator-=(const Room& o) {
  cpus -= o.cpus;
  gpus -= o.gpus;
  memory_gb -= o.memory_gb;
  return *this;
}

bool Room::Fits(const Room& need) const {
  return need.cpus <= cpus + kEpsilon && need.gpus <= gpus + kEpsilon &&
         need.memory_gb <= memory_gb + kEpsilon;
}

size_t Timeline::Split(double time) {
  size_t i = steps_.size();
  while (i > 0 && steps_[i - 1].time > time) --i;
  // The first step is at 0 and time is never negative, so there is one before.
  if (i > 0 && steps_[i - 1].time == time) return i - 1;
  Step step = steps_[i - 1];
  step.time = time;
  steps_.insert(steps_.begin() + static_cast<ptrdiff_t>(i), step);
  return i;
}

void Timeline::Release(double time, const Room& room) {
  for (size_t i = Split(std::max(time, 0.0)); i < steps_.size(); ++i) steps_[i].free += room;
}

double Timeline::Earliest(const Room& room, double length) const {
  for (size_t i = 0; i < steps_.size(); ++i) {
    if (!steps_[i].free.Fits(room)) continue;
    const double end = steps_[i].time + length;
    size_t j = i + 1;
    while (j < steps_.size() && steps_[j].time < end && steps_[j].free.Fits(room)) ++j;
    if (j == steps_.size() || steps_[j].time >= end) return steps_[i].time;
    i = j;  // does not fit at j; the loop goes on behind it
  }
  return -1;
}

void Timeline::Reserve(double start, double length, const Room& room) {
  Split(start + length);
  for (size_t i = Split(start); i < steps_.size() && steps_[i].time < start + length; ++i) {
    steps_[i].free -= room;
  }
}

Map MapTier(Order order, const std::vector<TaskClass>& classes, std::vector<Slots>& machines,
            size_t limit) {
  struct State {
    size_t left;
    int fixed_zone;
    std::vector<size_t> zone_room;
    std::vector<double> start;  // per machine; negative: none
    size_t best = 0;
    double completion = 0;  // on the best; infinite: nowhere
    double room = 0;        // free processors of the best
  };
  constexpr double kNever = std::numeric_limits<double>::infinity();
  std::vector<State> states;
  auto evaluate = [&](size_t c, size_t m) {
    const TaskClass& tc = classes[c];
    State& s = states[c];
    s.start[m] = tc.run_s[m] < 0 ? -1 : machines[m].timeline.Earliest(tc.need, tc.run_s[m]);
  };
  auto pick = [&](size_t c) {
    const TaskClass& tc = classes[c];
    State& s = states[c];
    s.completion = kNever;
    s.room = kNever;
    for (size_t m = 0; m < machines.size(); ++m) {
      if (s.start[m] < 0) continue;
      const size_t zone = machines[m].zone;
      if (tc.one_zone && s.fixed_zone >= 0 && static_cast<size_t>(s.fixed_zone) != zone) continue;
      if (!s.zone_room.empty() && s.zone_room[zone] == 0) continue;
      const double completion = s.start[m] + tc.run_s[m];
      const double room = tc.pack ? machines[m].timeline.now().cpus : 0;
      if (completion < s.completion - kEpsilon ||
          (completion < s.completion + kEpsilon && room < s.room - kEpsilon)) {
        s.completion = completion;
        s.room = room;
        s.best = m;
      }
    }
  };
  for (size_t c = 0; c < classes.size(); ++c) {
    states.push_back({classes[c].count, classes[c].fixed_zone, classes[c].zone_room,
                      std::vector<double>(machines.size(), -1)});
    for (size_t m = 0; m < machines.size(); ++m) evaluate(c, m);
    pick(c);
  }
  Map map;
  while (map.assignments.size() < limit) {
    size_t chosen = classes.size();
    for (size_t c = 0; c < classes.size(); ++c) {
      if (states[c].left == 0 || states[c].completion == kNever) continue;
      if (chosen == classes.size()) {
        chosen = c;
        continue;
      }
      const double a = states[c].completion, b = states[chosen].completion;
      if (order == Order::kMinMin ? a < b : a > b) chosen = c;
    }
    if (chosen == classes.size()) break;
    const TaskClass& tc = classes[chosen];
    State& s = states[chosen];
    const size_t m = s.best;
    const double start = s.start[m];
    machines[m].timeline.Reserve(start, tc.run_s[m], tc.need);
    map.assignments.push_back({chosen, m, start, tc.run_s[m]});
    map.cost += tc.run_s[m] + start;
    --s.left;
    if (tc.one_zone) s.fixed_zone = static_cast<int>(machines[m].zone);
    if (!s.zone_room.empty()) --s.zone_room[machines[m].zone];
    for (size_t c = 0; c < classes.size(); ++c) {
      if (states[c].left == 0 || states[c].start[m] < 0) continue;
      evaluate(c, m);
      // Only who wanted this machine, or has new bounds on its zones, must look around again.
      if (c == chosen || states[c].best == m) pick(c);
    }
  }
  return map;
}

Map Duplex(const std::vector<TaskClass>& classes, std::vector<Slots>& machines, size_t limit) {
  std::vector<Slots> other = machines;
  Map min_min = MapTier(Order::kMinMin, classes, machines, limit);
  Map min_max = MapTier(Order::kMinMax, classes, other, limit);
  // A map that serves more tasks is better however much they add to the sum.
  const bool more = min_max.assignments.size() > min_min.assignments.size();
  const bool same = min_max.assignments.size() == min_min.assignments.size();
  if (more || (same && min_max.cost < min_min.cost)) {
    machines = std::move(other);
    return min_max;
  }
  return min_min;
}

}  // namespace hallpier::plan
