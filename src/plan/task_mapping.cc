#include "plan/task_mapping.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <utility>

namespace hallpier::plan {
namespace {

// The time by which a task would extend the use of a machine is compared in steps; this many steps
// are one run time of the task.
constexpr double kExtensionSteps = 4;
constexpr double kMillisecondsPerSecond = 1e3;

// The placement of a task of a class on one machine, as of its last evaluation.
struct Candidate {
  double completion;
  int64_t completion_ms;  // `completion` in whole milliseconds
  double start;
  double extension;  // steps by which the machine's use would be extended; 0 unless `pack` is set
  double free_cpus;  // free processors now; 0 unless `pack` is set
  size_t machine;

  // Returns true if `right` is the better candidate. Among equal completion times, the machine that
  // is in use anyway is better, then the fullest, then the first one, so that whole machines become
  // free for tasks that need one. Completion times are compared in whole milliseconds because that
  // is a strict weak order; a comparison with a tolerance is not.
  friend bool operator>(const Candidate& left, const Candidate& right) {
    if (left.completion_ms != right.completion_ms) return left.completion_ms > right.completion_ms;
    if (left.extension != right.extension) return left.extension > right.extension;
    if (left.free_cpus != right.free_cpus) return left.free_cpus > right.free_cpus;
    return left.machine > right.machine;
  }
  friend bool operator==(const Candidate& left, const Candidate& right) {
    return !(left > right) && !(right > left);
  }
};

// The candidate machines of one class, as a heap with the best on top. Reservations only ever take
// resources, so a candidate can become worse but never better. The best one is therefore found by
// re-evaluating the top of the heap rather than every machine.
class CandidateHeap {
 public:
  CandidateHeap(const TaskClass& task_class, const std::vector<MachineAvailability>& machines)
      : task_class_(task_class),
        machines_(machines),
        tasks_left_(task_class.count),
        fixed_zone_(task_class.fixed_zone),
        zone_allowance_(task_class.zone_allowance) {
    for (size_t machine = 0; machine < machines.size(); ++machine) {
      Candidate candidate;
      if (Evaluate(machine, &candidate)) heap_.push_back(candidate);
    }
    std::make_heap(heap_.begin(), heap_.end(), std::greater<>());
    Refresh();
  }

  // Returns null if no task is left to map, or none fits on any machine.
  const Candidate* best() const {
    return tasks_left_ == 0 || heap_.empty() ? nullptr : &heap_.front();
  }

  // Assigns the best candidate to a task of the class.
  void AssignBest() {
    --tasks_left_;
    const size_t zone = machines_[heap_.front().machine].zone;
    if (task_class_.one_zone) fixed_zone_ = zone;
    if (!zone_allowance_.empty()) --zone_allowance_[zone];
  }

  // Re-evaluates the top of the heap until its evaluation is current.
  void Refresh() {
    while (tasks_left_ > 0 && !heap_.empty()) {
      const Candidate top = heap_.front();
      Candidate current;
      const bool fits = ZoneAllowed(machines_[top.machine].zone) && Evaluate(top.machine, &current);
      if (fits && current == top) return;
      std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
      if (!fits) {
        heap_.pop_back();
        continue;
      }
      heap_.back() = current;
      std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
    }
  }

 private:
  // Evaluates the machine for a task of the class; returns false if the task can never run there.
  // Fills `candidate` in place: with a std::optional result, GCC 12 compiles the heap's comparisons
  // to conditional moves, which wait for memory, and a round with 4,000 machines took 25 to 50 %
  // longer.
  bool Evaluate(size_t machine, Candidate* candidate) const {
    const double run_s = task_class_.run_s[machine];
    if (run_s < 0) return false;
    const ResourceTimeline& timeline = machines_[machine].timeline;
    const double start = timeline.EarliestStart(task_class_.need, run_s);
    if (start < 0) return false;
    const double completion = start + run_s;
    *candidate = {.completion = completion,
                  .completion_ms = std::llround(completion * kMillisecondsPerSecond),
                  .start = start,
                  .extension = 0,
                  .free_cpus = 0,
                  .machine = machine};
    if (!task_class_.pack) return true;
    // Rounded to steps, so that small differences do not spread tasks over half-empty machines.
    const double extension_s = std::max(0.0, run_s - timeline.last_change());
    candidate->extension = std::ceil(extension_s * kExtensionSteps / run_s);
    candidate->free_cpus = timeline.free_now().cpus;
    return true;
  }

  bool ZoneAllowed(size_t zone) const {
    if (task_class_.one_zone && fixed_zone_ && *fixed_zone_ != zone) return false;
    return zone_allowance_.empty() || zone_allowance_[zone] > 0;
  }

  const TaskClass& task_class_;
  const std::vector<MachineAvailability>& machines_;
  size_t tasks_left_;
  std::optional<size_t> fixed_zone_;
  std::vector<size_t> zone_allowance_;
  std::vector<Candidate> heap_;
};

bool ComesBefore(MappingOrder order, const Candidate& left, const Candidate& right) {
  return order == MappingOrder::kMinMin ? left.completion < right.completion
                                        : left.completion > right.completion;
}

// Returns the class whose best candidate is assigned next, the first one among equals; std::nullopt
// if no class has a candidate.
std::optional<size_t> NextClass(MappingOrder order, const std::vector<CandidateHeap>& heaps) {
  const Candidate* chosen = nullptr;
  size_t chosen_class = 0;
  for (size_t i = 0; i < heaps.size(); ++i) {
    const Candidate* best = heaps[i].best();
    if (best == nullptr) continue;
    if (chosen == nullptr || ComesBefore(order, *best, *chosen)) {
      chosen = best;
      chosen_class = i;
    }
  }
  if (chosen == nullptr) return std::nullopt;
  return chosen_class;
}

}  // namespace

void TimelineUndoLog::Save(size_t machine, const ResourceTimeline& timeline) {
  if (saved_[machine]) return;
  saved_[machine] = true;
  snapshots_.push_back({machine, timeline});
}

void TimelineUndoLog::Exchange(std::vector<MachineAvailability>& machines) {
  for (Snapshot& snapshot : snapshots_) {
    std::swap(machines[snapshot.machine].timeline, snapshot.timeline);
  }
}

Mapping MapTasks(MappingOrder order, const std::vector<TaskClass>& classes,
                 std::vector<MachineAvailability>& machines, size_t limit,
                 TimelineUndoLog* undo_log) {
  std::vector<CandidateHeap> heaps;
  heaps.reserve(classes.size());
  for (const TaskClass& task_class : classes) heaps.emplace_back(task_class, machines);
  Mapping mapping;
  while (mapping.assignments.size() < limit) {
    const std::optional<size_t> chosen = NextClass(order, heaps);
    if (!chosen) break;
    const TaskClass& task_class = classes[*chosen];
    const size_t machine = heaps[*chosen].best()->machine;
    const double start = heaps[*chosen].best()->start;
    const double run_s = task_class.run_s[machine];
    ResourceTimeline& timeline = machines[machine].timeline;
    if (undo_log != nullptr) undo_log->Save(machine, timeline);
    timeline.Reserve(start, run_s, task_class.need);
    mapping.assignments.push_back({*chosen, machine, start, run_s});
    mapping.cost += run_s + start;
    heaps[*chosen].AssignBest();
    // Only two kinds of classes need a re-evaluation: those whose best candidate is this machine,
    // and the class of the task, which now has less zone allowance left.
    for (size_t i = 0; i < heaps.size(); ++i) {
      const Candidate* best = heaps[i].best();
      if (best != nullptr && (i == *chosen || best->machine == machine)) heaps[i].Refresh();
    }
  }
  return mapping;
}

Mapping MapTasksDuplex(const std::vector<TaskClass>& classes,
                       std::vector<MachineAvailability>& machines, size_t limit) {
  // With a single class both orders give the same mapping.
  if (classes.size() == 1) return MapTasks(MappingOrder::kMinMin, classes, machines, limit);
  TimelineUndoLog min_min_log(machines.size());
  Mapping min_min = MapTasks(MappingOrder::kMinMin, classes, machines, limit, &min_min_log);
  min_min_log.Exchange(machines);
  TimelineUndoLog min_max_log(machines.size());
  Mapping min_max = MapTasks(MappingOrder::kMinMax, classes, machines, limit, &min_max_log);
  // A mapping that serves more tasks is better even if the additional tasks raise its cost.
  const bool serves_more = min_max.assignments.size() > min_min.assignments.size();
  const bool serves_as_many = min_max.assignments.size() == min_min.assignments.size();
  if (serves_more || (serves_as_many && min_max.cost < min_min.cost)) return min_max;
  min_max_log.Exchange(machines);
  min_min_log.Exchange(machines);
  return min_min;
}

}  // namespace hallpier::plan
