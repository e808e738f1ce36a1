// The mapping of a round: waiting tasks to the slots of machines by expected completion, min-min or
// min-max, whichever map has the smaller sum of run times and delays. Pure.
#pragma once

#include <cstddef>
#include <vector>

namespace hallpier::plan {

struct Room {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  Room& operator+=(const Room& o);
  Room& operator-=(const Room& o);
  bool Fits(const Room& need) const;
};

// What is free on a machine from now on, as steps in time.
class Timeline {
 public:
  explicit Timeline(const Room& free) : steps_{{0, free}} {}
  // Something that uses `room` now ends at `time`.
  void Release(double time, const Room& room);
  // Earliest start for `length` seconds of `room`; negative if it never fits.
  double Earliest(const Room& room, double length) const;
  void Reserve(double start, double length, const Room& room);
  const Room& now() const { return steps_.front().free; }
  // From here on nothing changes any more.
  double last() const { return steps_.back().time; }

 private:
  struct Step {
    double time;
    Room free;
  };
  size_t Split(double time);
  std::vector<Step> steps_;
};

struct Slots {
  Timeline timeline;
  size_t zone = 0;
};

// Tasks that are alike: one evaluation serves them all.
struct TaskClass {
  Room need;
  size_t count = 0;
  std::vector<double> run_s;  // per machine; negative: not allowed there
  bool pack = false;          // of equal completions a machine that is in use anyway
  bool one_zone = false;
  int fixed_zone = -1;  // with one_zone: where the others are already
  // With spread: how many more tasks each zone may take; empty without.
  std::vector<size_t> zone_room;
};

struct Assignment {
  size_t task_class = 0;
  size_t machine = 0;
  double start = 0;
  double run_s = 0;
};

struct Map {
  std::vector<Assignment> assignments;
  double cost = 0;  // summed run times and delays
};

enum class MappingOrder { kMinMin, kMinMax };

// A machine's timeline as it was before a map changed it.
struct Touched {
  size_t machine = 0;
  Timeline before;
};

// Maps at most `limit` tasks; what does not fit anywhere stays out. `touched`, if given, gets what
// is needed to undo the map.
Map MapTier(MappingOrder order, const std::vector<TaskClass>& classes, std::vector<Slots>& machines,
            size_t limit, std::vector<Touched>* touched = nullptr);
// Both orders; `machines` is left as the better map has it.
Map Duplex(const std::vector<TaskClass>& classes, std::vector<Slots>& machines, size_t limit);

}  // namespace hallpier::plan
