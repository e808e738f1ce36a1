// Records of task groups in the text format and in the packed format.
#include "store/task_group.h"

#include <gtest/gtest.h>

#include "store/packed_task_group.h"
#include "store/records.h"
#include "store/task_group_layout.h"
#include "store/task_index_set.h"

namespace hallpier::store {
namespace {

TEST(TaskIndexSet, MergesRanges) {
  TaskIndexSet s;
  for (uint32_t i : {5U, 3U, 4U, 9U, 3U}) s.Insert(i);
  EXPECT_EQ(s.size(), 4U);
  EXPECT_EQ(s.ranges(), (std::map<uint32_t, uint32_t>{{3, 5}, {9, 9}}));
  EXPECT_TRUE(s.Contains(4));
  EXPECT_FALSE(s.Contains(6));
}

TEST(TaskGroup, RoundTripsAndRejectsInvalidText) {
  TaskGroup group;
  group.done.Insert(1);
  group.done.Insert(2);
  group.open[7] = {3, "vm-1"};
  group.open[8] = {1, ""};
  group.runs["c4"] = {2, 20.5};
  auto decoded = ReadTaskGroup(WriteTaskGroup(group));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->open, group.open);
  EXPECT_EQ(decoded->done.size(), 2U);
  EXPECT_EQ(decoded->placed(), 1U);
  EXPECT_EQ(decoded->runs["c4"].count, 2U);
  for (const char* invalid :
       {R"({"done":[1],"on":{}})", R"({"done":[]})", R"({"done":[],"on":{"vm-1":[-2]}})",
        R"({"done":[],"on":{"vm-1":[3,-2,-2]}})", R"({"done":[],"on":{"vm-1":[3],"vm-2":[3]}})",
        R"({"done":[],"on":{"vm-1":[100000]}})"}) {
    EXPECT_FALSE(ReadTaskGroup(invalid)) << invalid;
  }
  EXPECT_FALSE(ReadTaskGroup("[]"));
  EXPECT_FALSE(ReadFinal(R"({"phase":"running"})"));
}

TEST(TaskGroup, LargestGroupFitsValueLimit) {
  const double value_kb = 2;
  const uint32_t tasks = TasksPerTextGroup(value_kb);
  TaskGroup group;
  for (uint32_t i = 0; i < tasks; ++i)
    group.open[99000 + i] = {1, "vm-" + std::to_string(100000 + i)};
  EXPECT_LT(static_cast<double>(WriteTaskGroup(group).size()), value_kb * 1024);
}

TaskGroup GroupWithOpenTasks(const std::vector<std::string>& machines) {
  TaskGroup group;
  group.done.Insert(300);
  group.done.Insert(301);
  group.runs["c4"] = {2, 20.5};
  for (uint32_t i = 0; i < machines.size(); ++i) group.open[302 + i] = {i * 40 + 1, machines[i]};
  return group;
}

TEST(PackedTaskGroup, RoundTripsWithAnyMachineNames) {
  for (const TaskGroup& group :
       {GroupWithOpenTasks({"vm-000231", "vm-009000", "", "vm-000231"}),
        GroupWithOpenTasks({"vm-9", "vm-10", "other"}),
        GroupWithOpenTasks({"a-7", "b-1", "b-3", "", "a-8", "b-3"}), GroupWithOpenTasks({"", ""}),
        GroupWithOpenTasks({}),
        GroupWithOpenTasks({"12345678901234567890", "12345678901234567891"})}) {
    auto decoded = ReadTaskGroup(WritePackedTaskGroup(group, 300, 20));
    ASSERT_TRUE(decoded) << WritePackedTaskGroup(group, 300, 20);
    EXPECT_EQ(decoded->open, group.open);
    EXPECT_EQ(decoded->done.ranges(), group.done.ranges());
    EXPECT_EQ(decoded->runs["c4"].count, 2U);
  }
  // Tasks outside the given range of the group are kept as well.
  EXPECT_EQ(ReadTaskGroup(WritePackedTaskGroup(GroupWithOpenTasks({"vm-1"}), 300, 2))->open,
            GroupWithOpenTasks({"vm-1"}).open);
}

TEST(PackedTaskGroup, RejectsInvalidFields) {
  const std::string valid =
      WritePackedTaskGroup(GroupWithOpenTasks({"vm-000231", "vm-009000"}), 300, 6);
  ASSERT_TRUE(ReadTaskGroup(valid));
  auto rejected_field = [&](const std::string& from, const std::string& to) {
    std::string text = valid;
    EXPECT_NE(text.find(from), std::string::npos) << text;
    text.replace(text.find(from), from.size(), to);
    const auto result = ReadTaskGroup(text);
    return result ? std::string("readable") : result.error().field;
  };
  EXPECT_EQ(rejected_field("\"of\":6", "\"of\":7"), "done");
  EXPECT_EQ(rejected_field("\"first\":300", "\"first\":100000"), "of");
  EXPECT_EQ(rejected_field("[\"vm-\",6,231,8770]", "[\"vm-\",6,231,870]"), "on");
  EXPECT_EQ(rejected_field("[\"vm-\",6,231,8770]", "[\"vm-\",6,231]"), "hosts");
  EXPECT_EQ(rejected_field("[\"vm-\",6,231,8770]", "[\"vm-\",3,231,8770]"), "hosts")
      << "too few digits";
  EXPECT_EQ(rejected_field("\"open\":\"C\"", "\"open\":\"m\""), "open")
      << "a task both done and open";
}

// Guards against stored groups that are too large to be rewritten after the limits are lowered. The
// largest group that production ever wrote must fit into a quarter of the old limit once it is
// packed.
TEST(PackedTaskGroup, LargestGroupsFitLoweredLimit) {
  for (uint32_t tasks : {TasksPerTextGroup(8), TasksPerPackedGroup(2)}) {
    TaskGroup group;
    for (uint32_t i = 0; i < tasks; ++i) {
      group.open[i] = {i % 60 + 1, "vm-" + std::to_string(100000 + (i * 7919) % 200000)};
    }
    for (const char* machine_type : {"menhir-4", "dolmen-8"})
      group.runs[machine_type] = {1000, 12345.678901234};
    EXPECT_LE(WritePackedTaskGroup(group, 0, tasks).size(), 2048U) << tasks;
  }
}

}  // namespace
}  // namespace hallpier::store
