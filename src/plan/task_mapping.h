// Maps waiting tasks to machines by expected completion: min-min, min-max, and Duplex, which keeps
// the better of both (Collins & George 2001, see docs/design.md). Does no I/O and keeps no state;
// a call changes the timelines that it is given and nothing else.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "plan/resource_timeline.h"
#include "plan/resources.h"

namespace hallpier::plan {

// The bin that tasks are packed into: one machine, with what is free there over time.
struct MachineAvailability {
  ResourceTimeline timeline;
  size_t zone = 0;
};

// In TaskClass::run_s: the class may not run on the machine.
inline constexpr double kNotAllowed = -1;

// Tasks that are alike: one evaluation serves them all.
struct TaskClass {
  Resources need;  // of one task
  size_t count = 0;
  std::vector<double> run_s;  // expected run time by machine; negative: not allowed there
  bool pack = false;          // of equal completions it prefers a machine that is in use anyway
  bool one_zone = false;      // all tasks in the same zone
  // With one_zone: the zone of the tasks that are placed already, if there are any.
  std::optional<size_t> fixed_zone;
  // By zone, how many more tasks it may take; empty: any number.
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
  double cost = 0;  // summed run times and delays, seconds
};

// Which class is served next, by the completion of its best candidate: the one that ends first, or
// the one that ends last.
enum class MappingOrder { kMinMin, kMinMax };

// The timelines of machines as they were before a mapping changed them.
class TimelineUndoLog {
 public:
  explicit TimelineUndoLog(size_t machines) : saved_(machines, false) {}

  // Keeps the machine's timeline, at the first call for that machine only.
  void Save(size_t machine, const ResourceTimeline& timeline);
  // Exchanges the saved timelines and those of the machines: called once it undoes the mapping,
  // called again it redoes it.
  void Exchange(std::vector<MachineAvailability>& machines);

 private:
  struct Snapshot {
    size_t machine = 0;
    ResourceTimeline timeline;
  };
  std::vector<bool> saved_;  // by machine
  std::vector<Snapshot> snapshots_;
};

// Maps at most `limit` tasks in one order and reserves their resources. What does not fit anywhere
// stays out. `undo_log`: gets what is needed to undo the mapping; null: it is not undone.
Mapping MapTasks(MappingOrder order, const std::vector<TaskClass>& classes,
                 std::vector<MachineAvailability>& machines, size_t limit,
                 TimelineUndoLog* undo_log = nullptr);

// Maps in both orders and keeps the mapping that serves more tasks or, if both serve as many, the
// one of less cost. `machines` is left as that mapping has it.
Mapping MapTasksDuplex(const std::vector<TaskClass>& classes,
                       std::vector<MachineAvailability>& machines, size_t limit);

}  // namespace hallpier::plan
