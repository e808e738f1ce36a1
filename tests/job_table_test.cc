// Unfinished jobs and their task groups as the job table derives them from records.
#include "jobs/job_table.h"

#include <gtest/gtest.h>

#include <map>

#include "fixtures.h"
#include "jobs/transaction_builder.h"
#include "model/job.h"

namespace hallpier::jobs {
namespace {

using namespace testing_support;
using Kind = TaskTransition::Kind;

TEST(JobTable, TaskGroupsWithoutJobAreObsolete) {
  JobTable job_table(4);
  PutJob(job_table, Spec("run-1", 40));
  PutOpenTask(job_table, "run-1", 9, 1, "");
  job_table.Apply(store::ParseKey(store::JobKey("run-1")), "");
  auto obsolete = job_table.ObsoleteKeys();
  ASSERT_EQ(obsolete.size(), 1U);
  EXPECT_EQ(obsolete[0], store::TaskGroupKey("run-1", 2));
  job_table.Apply(store::ParseKey(obsolete[0]), "");
  EXPECT_TRUE(job_table.ObsoleteKeys().empty());
}

TEST(JobTable, WaitingTasksAreInOrderAndAttemptsIncrease) {
  JobTable job_table(4);
  PutJob(job_table, Spec("run-1", 10));
  store::TaskGroup task_group;
  task_group.done.Insert(0);
  task_group.open[1] = {1, "vm-1"};
  task_group.open[2] = {5, ""};
  PutTaskGroup(job_table, "run-1", 0, task_group);
  const Job& job = *job_table.Find("run-1");
  EXPECT_EQ(job_table.WaitingTasks(job, 4), (std::vector<uint32_t>{2, 3, 4, 5}));
  EXPECT_EQ(job_table.NextAttempt(job, 2), 6U);
  EXPECT_EQ(job_table.NextAttempt(job, 9), 1U);
  EXPECT_EQ(job.waiting(), 8U);
}

// Task groups of a layout that is too large for the lowered limits are migrated part by part,
// whenever one of their tasks changes. Each part is written in a transaction within the limits,
// with a precondition on the base group that it is migrated from.
class TaskGroupPartsTest : public testing::Test {
 protected:
  TaskGroupPartsTest() : job_table_(40) {
    PutJob(job_table_, Spec("run-1", 100));
    store::TaskGroup base_group;
    for (uint32_t i = 0; i < 10; ++i) base_group.done.Insert(i);
    for (uint32_t i = 10; i < 30; ++i) base_group.open[i] = {1, "vm-1"};
    base_group.runs["c4"] = {10, 50};
    Apply(store::TaskGroupKey("run-1", 0), store::WriteTaskGroup(base_group));
    Apply(store::FormatKey(), store::WriteFormat({2, {40, 2}}));
  }
  void Apply(const std::string& key, const std::string& value) {
    job_table_.Apply(store::ParseKey(key), value);
    versions_[key] = value.empty() ? 0 : ++last_version_;
  }
  std::vector<Transaction> Build(Kind kind, uint32_t index, uint64_t attempt) {
    TaskTransition transition;
    transition.kind = kind;
    transition.task = {"run-1", index};
    transition.attempt = attempt;
    transition.machine = "vm-1";
    std::vector<TaskTransition> transitions;
    if (attempt > 0) transitions.push_back(transition);
    const TransactionLimits limits = {4, {{"block", 5}}, 0, 0, true, 0};
    return BuildTransactions(job_table_, transitions, limits,
                             [this](const std::string& k) { return versions_[k]; });
  }
  const Job& job() const { return *job_table_.Find("run-1"); }

  JobTable job_table_;
  std::map<std::string, uint64_t> versions_;
  uint64_t last_version_ = 10;
};

TEST_F(TaskGroupPartsTest, BaseGroupCountsUntilPartIsWritten) {
  EXPECT_EQ(job().done(), 10U);
  EXPECT_EQ(job().placed(), 20U);
  EXPECT_EQ(job().MeanRunTimeS("c4"), 5);
  EXPECT_EQ(job_table_.WaitingTasks(job(), 3), (std::vector<uint32_t>{30, 31, 32}));
  EXPECT_TRUE(job_table_.ObsoleteKeys().empty());
}

TEST_F(TaskGroupPartsTest, WritingPartMigratesAllTasksOfItsRange) {
  const std::string base_group = store::TaskGroupKey("run-1", 0),
                    second_part = store::TaskGroupPartKey("run-1", 0, 1);
  auto transactions = Build(Kind::kDone, 25, 1);
  ASSERT_EQ(transactions.size(), 1U);
  ASSERT_EQ(transactions[0].writes.size(), 1U);
  EXPECT_EQ(transactions[0].writes[0].key, second_part);
  std::map<std::string, uint64_t> preconditions;
  for (const auto& g : transactions[0].preconditions) preconditions[g.key] = g.version;
  EXPECT_EQ(preconditions.at(base_group), versions_[base_group]);
  EXPECT_EQ(preconditions.at(second_part), 0U);
  Apply(second_part, transactions[0].writes[0].value);
  EXPECT_EQ(job().done(), 11U);
  EXPECT_EQ(job().placed(), 19U);
  EXPECT_EQ(job_table_.PlacementsOn("vm-1").size(), 19U);
  // A late write of the base group has no effect on tasks whose part exists.
  store::TaskGroup late_base_group;
  late_base_group.open[25] = {1, "vm-9"};
  late_base_group.open[12] = {1, "vm-1"};
  Apply(base_group, store::WriteTaskGroup(late_base_group));
  EXPECT_TRUE(job_table_.PlacementsOn("vm-9").empty());
  EXPECT_EQ(job().done(), 1U);
}

TEST_F(TaskGroupPartsTest, BaseGroupIsObsoleteOnceAllItsTasksHaveParts) {
  for (uint32_t index : {25U, 12U}) {
    EXPECT_TRUE(job_table_.ObsoleteKeys().empty());
    auto transactions = Build(Kind::kDone, index, 1);
    Apply(transactions.at(0).writes.at(0).key, transactions[0].writes[0].value);
  }
  EXPECT_EQ(job_table_.ObsoleteKeys(), std::vector<std::string>{store::TaskGroupKey("run-1", 0)});
  EXPECT_EQ(Build(Kind::kDone, 0, 0).at(0).writes.at(0).value, "")
      << "deleted without any transition";
  Apply(store::TaskGroupKey("run-1", 0), "");
  EXPECT_EQ(job().done(), 12U);
  EXPECT_EQ(job().placed(), 18U);
  EXPECT_TRUE(job_table_.ObsoleteKeys().empty());
}

TEST_F(TaskGroupPartsTest, OrderOfLoadedRecordsDoesNotMatter) {
  auto transactions = Build(Kind::kDone, 25, 1);
  Apply(transactions.at(0).writes.at(0).key, transactions[0].writes[0].value);
  JobTable other(40);
  auto put = [&](const std::string& key, const std::string& value) {
    other.Apply(store::ParseKey(key), value);
  };
  put(store::FormatKey(), store::WriteFormat({2, {40, 2}}));
  put(transactions[0].writes[0].key, transactions[0].writes[0].value);
  store::TaskGroup base_group;
  for (uint32_t i = 10; i < 30; ++i) base_group.open[i] = {1, "vm-1"};
  put(store::TaskGroupKey("run-1", 0), store::WriteTaskGroup(base_group));
  PutJob(other, Spec("run-1", 100));
  EXPECT_EQ(other.Find("run-1")->placed(), 19U);
  EXPECT_EQ(other.Find("run-1")->done(), 1U);
  put(store::JobKey("run-1"), "");
  EXPECT_EQ(other.ObsoleteKeys().size(), 2U) << "base group and part are obsolete without the job";
}

// A job whose record names a layout uses it, regardless of the settings and of other jobs.
TEST(JobTable, LayoutInJobRecordTakesPrecedence) {
  JobTable job_table(40);
  store::JobRecord record;
  record.spec = Spec("run-2", 100);
  record.tasks_per_group = 70;
  job_table.Apply(store::ParseKey(store::JobKey("run-2")), store::WriteJob(record));
  PutOpenTask(job_table, "run-2", 69, 1, "vm-1");
  PutOpenTask(job_table, "run-2", 70, 1, "vm-1");
  const Job& job = *job_table.Find("run-2");
  EXPECT_EQ(job.task_groups().size(), 2U);
  EXPECT_EQ(job.groups.layout().EndTask(0), 70U);
  job_table.Apply(store::ParseKey(store::FormatKey()), store::WriteFormat({2, {40, 2}}));
  EXPECT_EQ(job.groups.layout().EndTask(0), 70U);
  EXPECT_EQ(job_table.WaitingTasks(job, 100).size(), 98U);
}

}  // namespace
}  // namespace hallpier::jobs
