// Maps waiting tasks to machines by expected completion time with the heuristics min-min, min-max
// and Duplex, which keeps the better of both mappings (Collins & George 2001, see docs/design.md).
// Does no I/O and keeps no state; a call changes only the timelines that are passed to it.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "plan/resource_timeline.h"
#include "plan/resources.h"

namespace hallpier::plan {

// A machine to which tasks are mapped, with its free resources over time.
struct MachineAvailability {
  ResourceTimeline timeline;
  size_t zone = 0;
};

// Value in TaskClass::run_s for a machine on which the class must not run.
inline constexpr double kNotAllowed = -1;

// Tasks with the same requirements and run times, so that one evaluation holds for all of them.
struct TaskClass {
  Resources need;             // requirement of one task
  size_t count = 0;           // number of tasks
  std::vector<double> run_s;  // expected run time by machine; negative if it must not run there
  bool pack = false;          // prefers machines already in use if completion times are equal
  bool one_zone = false;      // all tasks must run in the same zone
  // If `one_zone`: the zone of the job's tasks that are already placed; std::nullopt if there are
  // none.
  std::optional<size_t> fixed_zone;
  // By zone, the number of further tasks that may run there; empty if zones are not limited.
  std::vector<size_t> zone_allowance;
};

struct Assignment {
  size_t task_class = 0;
  size_t machine = 0;
  double start = 0;  // seconds from now
  double run_s = 0;
};

struct Mapping {
  std::vector<Assignment> assignments;
  double cost = 0;  // sum of all run times and start delays, seconds
};

// Selects the class to serve next by the completion time of its best candidate machine: the
// earliest (min-min) or the latest (min-max).
enum class MappingOrder { kMinMin, kMinMax };

// Keeps the timelines of machines from before a mapping changed them.
class TimelineUndoLog {
 public:
  explicit TimelineUndoLog(size_t machines) : saved_(machines, false) {}

  // Saves the machine's timeline; later calls for the same machine have no effect.
  void Save(size_t machine, const ResourceTimeline& timeline);
  // Swaps the saved timelines with those of the machines: the first call undoes the mapping, the
  // second one redoes it.
  void Exchange(std::vector<MachineAvailability>& machines);

 private:
  struct Snapshot {
    size_t machine = 0;
    ResourceTimeline timeline;
  };
  std::vector<bool> saved_;  // by machine
  std::vector<Snapshot> snapshots_;
};

// Maps at most `limit` tasks in one order and reserves their resources. Tasks that fit on no
// machine are left out. `undo_log` receives the timelines that are needed to undo the mapping; null
// if the mapping need not be undone.
Mapping MapTasks(MappingOrder order, const std::vector<TaskClass>& classes,
                 std::vector<MachineAvailability>& machines, size_t limit,
                 TimelineUndoLog* undo_log = nullptr);

// Maps in both orders and returns the mapping that serves more tasks or, if both serve the same
// number, the one with the lower cost. `machines` holds the reservations of the returned mapping.
Mapping MapTasksDuplex(const std::vector<TaskClass>& classes,
                       std::vector<MachineAvailability>& machines, size_t limit);

}  // namespace hallpier::plan
