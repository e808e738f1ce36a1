// The mapping of task classes to machines with min-min, min-max and Duplex.
#include "plan/task_mapping.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace hallpier::plan {
namespace {

TaskClass MakeTaskClass(double cpus, size_t count, std::vector<double> run_s) {
  TaskClass c;
  c.need = {cpus, 0, 1};
  c.count = count;
  c.run_s = std::move(run_s);
  return c;
}

std::vector<MachineAvailability> Machines(const std::vector<double>& cpus) {
  std::vector<MachineAvailability> out;
  out.reserve(cpus.size());
  for (double c : cpus) out.push_back({ResourceTimeline(Resources{c, 0, 100}), 0});
  return out;
}

// One slot, and tasks of 1 and 10 seconds. Min-min runs 1 then 10 (delays 0 + 1), min-max runs 10
// then 1 (delays 0 + 10). The run times add up to 11 in both orders.
TEST(MapTasksDuplex, KeepsMinMinWhenShortTasksShouldGoFirst) {
  auto machines = Machines({1});
  std::vector<TaskClass> classes = {MakeTaskClass(1, 1, {1}), MakeTaskClass(1, 1, {10})};
  auto min_min_machines = machines, min_max_machines = machines;
  EXPECT_DOUBLE_EQ(MapTasks(MappingOrder::kMinMin, classes, min_min_machines, 10).cost, 12);
  EXPECT_DOUBLE_EQ(MapTasks(MappingOrder::kMinMax, classes, min_max_machines, 10).cost, 21);
  Mapping map = MapTasksDuplex(classes, machines, 10);
  EXPECT_DOUBLE_EQ(map.cost, 12);
  EXPECT_EQ(map.assignments[0].task_class, 0U);
}

// A fast and a slow machine. The short task takes 2 s on both; the long task takes 3 s on the fast
// machine and 30 s on the slow one. Min-min maps the short task to the fast machine: 2 + (3 run + 2
// delay) = 7. Min-max maps the long task to the fast machine and the short task to the slow one:
// 3 + 2 = 5.
TEST(MapTasksDuplex, KeepsMinMaxWhenLongTaskNeedsFastMachine) {
  auto machines = Machines({1, 1});
  std::vector<TaskClass> classes = {MakeTaskClass(1, 1, {2, 2}), MakeTaskClass(1, 1, {3, 30})};
  auto min_min_machines = machines, min_max_machines = machines;
  EXPECT_DOUBLE_EQ(MapTasks(MappingOrder::kMinMin, classes, min_min_machines, 10).cost, 7);
  EXPECT_DOUBLE_EQ(MapTasks(MappingOrder::kMinMax, classes, min_max_machines, 10).cost, 5);
  EXPECT_DOUBLE_EQ(MapTasksDuplex(classes, machines, 10).cost, 5);
}

TEST(MapTasksDuplex, RespectsOneZoneAndZoneAllowance) {
  std::vector<MachineAvailability> machines = Machines({2, 2});
  machines[1].zone = 1;
  TaskClass one_zone_class = MakeTaskClass(1, 3, {5, 5});
  one_zone_class.one_zone = true;
  auto mapped_machines = machines;
  Mapping map = MapTasksDuplex({one_zone_class}, mapped_machines, 10);
  ASSERT_EQ(map.assignments.size(), 3U);
  for (const auto& a : map.assignments) EXPECT_EQ(a.machine, map.assignments[0].machine);
  TaskClass class_with_allowance = MakeTaskClass(1, 3, {5, 5});
  class_with_allowance.zone_allowance = {1, 2};
  mapped_machines = machines;
  map = MapTasksDuplex({class_with_allowance}, mapped_machines, 10);
  ASSERT_EQ(map.assignments.size(), 3U);
  EXPECT_EQ(std::count_if(map.assignments.begin(), map.assignments.end(),
                          [](const Assignment& a) { return a.machine == 0; }),
            1);
}

// Whole machines become free only if tasks are packed onto machines where other tasks run for as
// long anyway.
TEST(MapTasksDuplex, PacksOntoMachineThatStaysInUse) {
  auto machines = Machines({4, 4, 4});
  machines[1].timeline.Reserve(0, 10, {2, 0, 1});
  machines[2].timeline.Reserve(0, 100, {1, 0, 1});
  TaskClass packed_class = MakeTaskClass(1, 1, {50, 50, 50});
  packed_class.pack = true;
  Mapping map = MapTasksDuplex({packed_class}, machines, 10);
  ASSERT_EQ(map.assignments.size(), 1U);
  EXPECT_EQ(map.assignments[0].machine, 2U);
}

TEST(TimelineUndoLog, ExchangeUndoesAndRedoesMapping) {
  auto machines = Machines({1, 1});
  TimelineUndoLog log(machines.size());
  MapTasks(MappingOrder::kMinMin, {MakeTaskClass(1, 2, {5, 50})}, machines, 10, &log);
  EXPECT_EQ(machines[0].timeline.EarliestStart({1, 0, 1}, 1), 10);
  log.Exchange(machines);
  EXPECT_EQ(machines[0].timeline.EarliestStart({1, 0, 1}, 1), 0) << "as before the mapping";
  log.Exchange(machines);
  EXPECT_EQ(machines[0].timeline.EarliestStart({1, 0, 1}, 1), 10);
}

}  // namespace
}  // namespace hallpier::plan
