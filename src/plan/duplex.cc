#include "plan/duplex.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>

namespace hallpier::plan {
namespace {
constexpr double kEpsilon = 1e-6;
// Steps in which it is compared how much longer a machine would be in use.
constexpr double kSteps = 4;
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

namespace {

// What a class would get on a machine when it was last looked at. Reservations only ever take room,
// so a candidate can become worse but never better: the best one is found by looking again at the
// top of a heap, not at every machine.
struct Candidate {
  double completion;
  int64_t ms;  // the completion in whole milliseconds
  double start;
  double longer;  // how much longer the machine would be in use, where the class packs
  double room;    // free processors, where the class packs
  size_t machine;

  // Of equal completions the machine that would be in use anyway, then the fullest, then the first
  // one: so that whole machines come free for tasks that need one. Completions are compared in
  // whole milliseconds: that is an order, as a comparison with a tolerance would not be.
  friend bool operator>(const Candidate& a, const Candidate& b) {
    if (a.ms != b.ms) return a.ms > b.ms;
    if (a.longer != b.longer) return a.longer > b.longer;
    if (a.room != b.room) return a.room > b.room;
    return a.machine > b.machine;
  }
};

class ClassState {
 public:
  ClassState(const TaskClass& tc, const std::vector<Slots>& machines)
      : tc_(tc),
        machines_(machines),
        left_(tc.count),
        fixed_zone_(tc.fixed_zone),
        zone_room_(tc.zone_room) {
    for (size_t m = 0; m < machines.size(); ++m) {
      Candidate c;
      if (Evaluate(m, &c)) heap_.push_back(c);
    }
    std::make_heap(heap_.begin(), heap_.end(), std::greater<>());
    Refresh();
  }

  // Nothing if no task is left, or none fits anywhere.
  const Candidate* best() const { return left_ == 0 || heap_.empty() ? nullptr : &heap_.front(); }

  void Take() {
    --left_;
    const size_t zone = machines_[heap_.front().machine].zone;
    if (tc_.one_zone) fixed_zone_ = static_cast<int>(zone);
    if (!zone_room_.empty()) --zone_room_[zone];
  }

  // Looks at the top again until it is what it says.
  void Refresh() {
    while (left_ > 0 && !heap_.empty()) {
      const Candidate top = heap_.front();
      Candidate now;
      const bool there = ZoneAllowed(machines_[top.machine].zone) && Evaluate(top.machine, &now);
      if (there && !(now > top) && !(top > now)) return;
      std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
      if (!there) {
        heap_.pop_back();
        continue;
      }
      heap_.back() = now;
      std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
    }
  }

 private:
  bool Evaluate(size_t m, Candidate* out) const {
    const double run = tc_.run_s[m];
    if (run < 0) return false;
    const double start = machines_[m].timeline.Earliest(tc_.need, run);
    if (start < 0) return false;
    *out = {start + run, std::llround((start + run) * 1e3), start, 0, 0, m};
    if (!tc_.pack) return true;
    // In steps, so that small differences do not spread tasks over half-empty machines.
    const double longer = std::max(0.0, run - machines_[m].timeline.last());
    out->longer = std::ceil(longer * kSteps / run);
    out->room = machines_[m].timeline.now().cpus;
    return true;
  }
  bool ZoneAllowed(size_t zone) const {
    if (tc_.one_zone && fixed_zone_ >= 0 && static_cast<size_t>(fixed_zone_) != zone) return false;
    return zone_room_.empty() || zone_room_[zone] > 0;
  }

  const TaskClass& tc_;
  const std::vector<Slots>& machines_;
  size_t left_;
  int fixed_zone_;
  std::vector<size_t> zone_room_;
  std::vector<Candidate> heap_;
};

}  // namespace

Map MapTier(MappingOrder order, const std::vector<TaskClass>& classes, std::vector<Slots>& machines,
            size_t limit, std::vector<Touched>* touched) {
  std::vector<ClassState> states;
  states.reserve(classes.size());
  for (const TaskClass& tc : classes) states.emplace_back(tc, machines);
  std::vector<bool> noted(touched == nullptr ? 0 : machines.size(), false);
  Map map;
  while (map.assignments.size() < limit) {
    const Candidate* best = nullptr;
    size_t chosen = 0;
    for (size_t c = 0; c < states.size(); ++c) {
      const Candidate* b = states[c].best();
      if (b == nullptr) continue;
      if (best == nullptr || (order == MappingOrder::kMinMin ? b->completion < best->completion
                                                             : b->completion > best->completion)) {
        best = b;
        chosen = c;
      }
    }
    if (best == nullptr) break;
    const TaskClass& tc = classes[chosen];
    const size_t m = best->machine;
    const double start = best->start;
    if (touched != nullptr && !noted[m]) {
      noted[m] = true;
      touched->push_back({m, machines[m].timeline});
    }
    machines[m].timeline.Reserve(start, tc.run_s[m], tc.need);
    map.assignments.push_back({chosen, m, start, tc.run_s[m]});
    map.cost += tc.run_s[m] + start;
    states[chosen].Take();
    // Only who wanted this machine, or has new bounds on its zones, must look around again.
    for (size_t c = 0; c < states.size(); ++c) {
      const Candidate* b = states[c].best();
      if (b != nullptr && (c == chosen || b->machine == m)) states[c].Refresh();
    }
  }
  return map;
}

Map Duplex(const std::vector<TaskClass>& classes, std::vector<Slots>& machines, size_t limit) {
  // Tasks that are all alike leave nothing to order.
  if (classes.size() == 1) return MapTier(MappingOrder::kMinMin, classes, machines, limit);
  std::vector<Touched> undo;
  Map min_min = MapTier(MappingOrder::kMinMin, classes, machines, limit, &undo);
  // From here on `undo` holds how min-min leaves the machines.
  for (Touched& t : undo) std::swap(machines[t.machine].timeline, t.before);
  std::vector<Touched> undo_max;
  Map min_max = MapTier(MappingOrder::kMinMax, classes, machines, limit, &undo_max);
  // A map that serves more tasks is better however much they add to the sum.
  const bool more = min_max.assignments.size() > min_min.assignments.size();
  const bool same = min_max.assignments.size() == min_min.assignments.size();
  if (more || (same && min_max.cost < min_min.cost)) return min_max;
  for (Touched& t : undo_max) machines[t.machine].timeline = std::move(t.before);
  for (Touched& t : undo) machines[t.machine].timeline = std::move(t.before);
  return min_min;
}

}  // namespace hallpier::plan
