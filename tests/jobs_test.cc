#include <gtest/gtest.h>

#include "fixtures.h"
#include "jobs/transaction_builder.h"
#include "model/job.h"
#include "store/rate_limiter.h"

namespace hallpier::jobs {
namespace {

using namespace testing_support;
using Kind = TaskTransition::Kind;

uint64_t NoVersion(const std::string& /*unused*/) { return 0; }

TaskTransition Make(Kind kind, uint32_t index, uint64_t attempt, const std::string& machine) {
  TaskTransition m;
  m.kind = kind;
  m.task = {"run-1", index};
  m.attempt = attempt;
  m.machine = machine;
  return m;
}

// Two holders that place tasks of different groups guard different keys; the job's record is one.
TEST(BuildTransactions, WhereZonesDependOnEachOtherAPlacementRewritesTheJob) {
  JobTable job_table(4);
  model::JobSpec spec = Spec("run-1", 8);
  spec.one_zone = true;
  PutJob(job_table, spec);
  TaskTransition place;
  place.task = {"run-1", 6};
  place.attempt = 1;
  place.machine = "vm-1";
  TransactionLimits limits = {8, {{"block", 5}}, 0, 0, false, 0};
  const VersionLookup version = [](const std::string& /*key*/) { return uint64_t{1}; };
  EXPECT_EQ(BuildTransactions(job_table, {place}, limits, version).at(0).writes.size(), 1U);
  limits.others_place = true;
  const auto writes = BuildTransactions(job_table, {place}, limits, version).at(0).writes;
  ASSERT_EQ(writes.size(), 2U);
  EXPECT_EQ(writes[1].key, store::JobKey("run-1"));
  EXPECT_EQ(writes[1].value, store::WriteJob(*job_table.Record("run-1")));
}

const TransactionLimits kLimits = {8, {{"block", 5}}, 0, 0, false, 0};

TEST(IndexSet, MergesRanges) {
  store::TaskIndexSet s;
  for (uint32_t i : {5U, 3U, 4U, 9U, 3U}) s.Insert(i);
  EXPECT_EQ(s.size(), 4U);
  EXPECT_EQ(s.ranges(), (std::map<uint32_t, uint32_t>{{3, 5}, {9, 9}}));
  EXPECT_TRUE(s.Contains(4));
  EXPECT_FALSE(s.Contains(6));
}

TEST(Records, SurviveARoundTripAndRefuseNonsense) {
  store::TaskGroup s;
  s.done.Insert(1);
  s.done.Insert(2);
  s.open[7] = {3, "vm-1"};
  s.open[8] = {1, ""};
  s.runs["c4"] = {2, 20.5};
  auto back = store::ReadTaskGroup(store::WriteTaskGroup(s));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->open, s.open);
  EXPECT_EQ(back->done.size(), 2U);
  EXPECT_EQ(back->placed(), 1U);
  EXPECT_EQ(back->runs["c4"].count, 2U);
  for (const char* bad :
       {R"({"done":[1],"on":{}})", R"({"done":[]})", R"({"done":[],"on":{"vm-1":[-2]}})",
        R"({"done":[],"on":{"vm-1":[3,-2,-2]}})", R"({"done":[],"on":{"vm-1":[3],"vm-2":[3]}})",
        R"({"done":[],"on":{"vm-1":[100000]}})"}) {
    EXPECT_FALSE(store::ReadTaskGroup(bad)) << bad;
  }
  EXPECT_FALSE(store::ReadTaskGroup("[]"));
  EXPECT_FALSE(store::ReadFinal(R"({"phase":"running"})"));
}

TEST(Records, TheLargestShardFitsItsValue) {
  const double value_kb = 2;
  const uint32_t tasks = store::TasksPerTextGroup(value_kb);
  store::TaskGroup s;
  for (uint32_t i = 0; i < tasks; ++i) s.open[99000 + i] = {1, "vm-" + std::to_string(100000 + i)};
  EXPECT_LT(static_cast<double>(store::WriteTaskGroup(s).size()), value_kb * 1024);
}

// Names of machines may be longer than the size of a group allows for: what does not fit waits, and
// is placed once others have ended. The state service would refuse the whole value.
TEST(Batch, PlacementsThatWouldOverfillAValueWait) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 40));
  std::vector<TaskTransition> all;
  for (uint32_t i = 0; i < 40; ++i) {
    all.push_back(Make(Kind::kPlace, i, 1, std::string(60, 'm') + std::to_string(i)));
  }
  TransactionLimits limits = kLimits;
  limits.value_bytes = 1024;
  auto transactions = BuildTransactions(job_table, all, limits, NoVersion);
  ASSERT_EQ(transactions.size(), 1U);
  EXPECT_LE(transactions[0].writes[0].value.size(), 1024U);
  EXPECT_EQ(transactions[0].machines.size(), 10U);
  EXPECT_EQ(store::ReadTaskGroup(transactions[0].writes[0].value)->open.size(), 10U);
}

// With more to write than the budget allows, urgent starts come first and ends of single tasks
// last, unless they have waited long; the last task's end goes with what makes the job final.
TEST(Batch, WhatMattersMostIsWrittenFirst) {
  JobTable job_table(64);
  model::JobSpec urgent = Spec("run-4", 1);
  urgent.priority = model::Priority::kUrgent;
  for (const auto& spec : {Spec("run-1", 4), Spec("run-2", 1), Spec("run-3", 4), urgent}) {
    PutJob(job_table, spec);
  }
  for (const char* id : {"run-1", "run-2"}) Place(job_table, id, 0, 1, "vm-1");
  auto of = [](const char* job, TaskTransition m) {
    m.task.job = job;
    return m;
  };
  TransactionLimits limits = kLimits;
  limits.max_writes = 3;
  limits.task_end_max_wait_s = 5;
  std::vector<TaskTransition> all = {
      of("run-1", Make(Kind::kDone, 0, 1, "vm-1")), of("run-3", Make(Kind::kPlace, 0, 1, "vm-2")),
      of("run-2", Make(Kind::kDone, 0, 1, "vm-1")), of("run-4", Make(Kind::kPlace, 0, 1, "vm-3"))};
  auto ranks = [&] {
    std::vector<WritePriority> out;
    for (const auto& t : BuildTransactions(job_table, all, limits, NoVersion))
      out.push_back(t.priority);
    return out;
  };
  EXPECT_EQ(ranks(), (std::vector<WritePriority>{WritePriority::kUrgentStart,
                                                 WritePriority::kJobEnd, WritePriority::kStart}));
  all[0].age_s = 6;
  all.erase(all.begin() + 1);
  EXPECT_EQ(ranks().back(), WritePriority::kStart);
}

TEST(Batch, APlacementIsGuardedByBlockJobAndShard) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 4));
  auto transactions = BuildTransactions(job_table, {Make(Kind::kPlace, 2, 1, "vm-1")}, kLimits,
                                        [](const std::string& key) { return key.size(); });
  ASSERT_EQ(transactions.size(), 1U);
  std::map<std::string, uint64_t> preconditions;
  for (const auto& g : transactions[0].preconditions) preconditions[g.key] = g.version;
  const std::string job = store::JobKey("run-1"), task_group = store::TaskGroupKey("run-1", 0);
  EXPECT_EQ(preconditions, (std::map<std::string, uint64_t>{
                               {"block", 5}, {job, job.size()}, {task_group, task_group.size()}}));
  EXPECT_EQ(transactions[0].machines, std::vector<std::string>{"vm-1"});
}

TEST(Batch, CancelledJobsGetNoPlacement) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 4), 1, true);
  Place(job_table, "run-1", 0, 1, "vm-1");
  EXPECT_TRUE(
      BuildTransactions(job_table, {Make(Kind::kPlace, 2, 1, "vm-1")}, kLimits, NoVersion).empty());
}

TEST(Batch, AnOutcomeOfAnotherAttemptIsLeftOut) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 4));
  Place(job_table, "run-1", 0, 2, "vm-1");
  EXPECT_TRUE(
      BuildTransactions(job_table, {Make(Kind::kDone, 0, 1, "vm-1")}, kLimits, NoVersion).empty());
  EXPECT_TRUE(
      BuildTransactions(job_table, {Make(Kind::kDone, 0, 2, "vm-2")}, kLimits, NoVersion).empty());
}

TEST(Batch, TheLastTaskMakesTheJobFinalInTheSameTransaction) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 2));
  store::TaskGroup task_group;
  task_group.done.Insert(0);
  task_group.open[1] = {1, "vm-1"};
  PutTaskGroup(job_table, "run-1", 0, task_group);
  auto transactions =
      BuildTransactions(job_table, {Make(Kind::kDone, 1, 1, "vm-1")}, kLimits, NoVersion);
  ASSERT_EQ(transactions.size(), 1U);
  std::map<std::string, std::string> writes;
  for (const auto& w : transactions[0].writes) writes[w.key] = w.value;
  ASSERT_EQ(writes.size(), 3U);
  auto final_record = store::ReadFinal(writes[store::FinalKey("run-1")]);
  ASSERT_TRUE(final_record);
  EXPECT_EQ(final_record->phase, model::JobPhase::kDone);
  EXPECT_EQ(final_record->done, 2U);
  EXPECT_EQ(writes[store::JobKey("run-1")], "");
  EXPECT_EQ(writes[store::TaskGroupKey("run-1", 0)], "");
}

TEST(Batch, ACancelledJobIsFinalOnlyOnceNothingIsPlaced) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 2), 1, true);
  Place(job_table, "run-1", 0, 1, "vm-1");
  EXPECT_TRUE(BuildTransactions(job_table, {}, kLimits, NoVersion).empty());
  auto transactions =
      BuildTransactions(job_table, {Make(Kind::kRequeue, 0, 1, "vm-1")}, kLimits, NoVersion);
  ASSERT_EQ(transactions.size(), 1U);
  auto final_record = store::ReadFinal(transactions[0].writes[0].value);
  ASSERT_TRUE(final_record);
  EXPECT_EQ(final_record->phase, model::JobPhase::kCancelled);
}

TEST(Batch, TransactionsStayWithinTheLimits) {
  JobTable job_table(4);
  std::vector<TaskTransition> all;
  PutJob(job_table, Spec("run-1", 400));
  for (uint32_t i = 0; i < 400; ++i) all.push_back(Make(Kind::kPlace, i, 1, "vm-1"));
  auto transactions = BuildTransactions(job_table, all, kLimits, NoVersion);
  size_t writes = 0;
  for (const auto& t : transactions) {
    EXPECT_LE(t.writes.size(), 8U);
    EXPECT_LE(t.preconditions.size(), 32U);
    EXPECT_EQ(t.preconditions[0].key, "block");
    writes += t.writes.size();
  }
  EXPECT_EQ(writes, 100U);
}

TEST(JobTable, ShardsWithoutTheirJobAreDroppedLater) {
  JobTable job_table(4);
  PutJob(job_table, Spec("run-1", 40));
  Place(job_table, "run-1", 9, 1, "");
  job_table.Apply(store::ParseKey(store::JobKey("run-1")), "");
  auto orphans = job_table.ObsoleteKeys();
  ASSERT_EQ(orphans.size(), 1U);
  EXPECT_EQ(orphans[0], store::TaskGroupKey("run-1", 2));
  job_table.Apply(store::ParseKey(orphans[0]), "");
  EXPECT_TRUE(job_table.ObsoleteKeys().empty());
}

TEST(JobTable, HandsOutTasksInOrderWithGrowingAttempts) {
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

TEST(RateLimiter, KeepsAReserveForWhatIsUrgent) {
  store::RateLimiter b(10, 1, 0.3);
  using store::Urgent;
  EXPECT_EQ(b.Take(0, 7, Urgent::kNo, 0), 0);
  EXPECT_LT(b.Take(0, 1, Urgent::kNo, 0), 0);
  EXPECT_EQ(b.Take(0, 3, Urgent::kYes, 0), 0);
  EXPECT_NEAR(b.Take(0, 1, Urgent::kYes, 1), 0.1, 1e-9);
  EXPECT_NEAR(b.Take(0.1, 2, Urgent::kNo, 1), 0.5, 1e-9);
}

}  // namespace
}  // namespace hallpier::jobs
