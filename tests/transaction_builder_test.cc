// What a round writes: which changes go together, in which order, within which limits.
#include "jobs/transaction_builder.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "fixtures.h"
#include "model/job.h"

namespace hallpier::jobs {
namespace {

using namespace testing_support;
using Kind = TaskTransition::Kind;

const TransactionLimits kLimits = {8, {{"block", 5}}, 0, 0, false, 0};

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
  limits.concurrent_placement = true;
  const auto writes = BuildTransactions(job_table, {place}, limits, version).at(0).writes;
  ASSERT_EQ(writes.size(), 2U);
  EXPECT_EQ(writes[1].key, store::JobKey("run-1"));
  EXPECT_EQ(writes[1].value, store::WriteJob(*job_table.Record("run-1")));
}

// Names of machines may be longer than the size of a group allows for: what does not fit waits, and
// is placed once others have ended. The state service would refuse the whole value.
TEST(BuildTransactions, PlacementsThatWouldOverfillAValueWait) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 40));
  std::vector<TaskTransition> all;
  for (uint32_t i = 0; i < 40; ++i) {
    all.push_back(Make(Kind::kPlace, i, 1, std::string(60, 'm') + std::to_string(i)));
  }
  TransactionLimits limits = kLimits;
  limits.max_value_bytes = 1024;
  auto transactions = BuildTransactions(job_table, all, limits, NoVersion);
  ASSERT_EQ(transactions.size(), 1U);
  EXPECT_LE(transactions[0].writes[0].value.size(), 1024U);
  EXPECT_EQ(transactions[0].machines.size(), 10U);
  EXPECT_EQ(store::ReadTaskGroup(transactions[0].writes[0].value)->open.size(), 10U);
}

// With more to write than the budget allows, urgent starts come first and ends of single tasks
// last, unless they have waited long; the last task's end goes with what makes the job final.
TEST(BuildTransactions, WhatMattersMostIsWrittenFirst) {
  JobTable job_table(64);
  model::JobSpec urgent = Spec("run-4", 1);
  urgent.priority = model::Priority::kUrgent;
  for (const auto& spec : {Spec("run-1", 4), Spec("run-2", 1), Spec("run-3", 4), urgent}) {
    PutJob(job_table, spec);
  }
  for (const char* id : {"run-1", "run-2"}) PutOpenTask(job_table, id, 0, 1, "vm-1");
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
  auto priorities = [&] {
    std::vector<WritePriority> out;
    for (const auto& t : BuildTransactions(job_table, all, limits, NoVersion))
      out.push_back(t.priority);
    return out;
  };
  EXPECT_EQ(priorities(),
            (std::vector<WritePriority>{WritePriority::kUrgentPlacement, WritePriority::kJobEnd,
                                        WritePriority::kPlacement}));
  all[0].known_for_s = 6;
  all.erase(all.begin() + 1);
  EXPECT_EQ(priorities().back(), WritePriority::kPlacement);
}

TEST(BuildTransactions, APlacementHasTokenJobAndGroupAsPreconditions) {
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

TEST(BuildTransactions, CancelledJobsGetNoPlacement) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 4), 1, true);
  PutOpenTask(job_table, "run-1", 0, 1, "vm-1");
  EXPECT_TRUE(
      BuildTransactions(job_table, {Make(Kind::kPlace, 2, 1, "vm-1")}, kLimits, NoVersion).empty());
}

TEST(BuildTransactions, AnOutcomeOfAnotherAttemptIsLeftOut) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 4));
  PutOpenTask(job_table, "run-1", 0, 2, "vm-1");
  EXPECT_TRUE(
      BuildTransactions(job_table, {Make(Kind::kDone, 0, 1, "vm-1")}, kLimits, NoVersion).empty());
  EXPECT_TRUE(
      BuildTransactions(job_table, {Make(Kind::kDone, 0, 2, "vm-2")}, kLimits, NoVersion).empty());
}

TEST(BuildTransactions, TheLastTaskMakesTheJobFinalInTheSameTransaction) {
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

TEST(BuildTransactions, ACancelledJobIsFinalOnlyOnceNothingIsPlaced) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 2), 1, true);
  PutOpenTask(job_table, "run-1", 0, 1, "vm-1");
  EXPECT_TRUE(BuildTransactions(job_table, {}, kLimits, NoVersion).empty());
  auto transactions =
      BuildTransactions(job_table, {Make(Kind::kRequeue, 0, 1, "vm-1")}, kLimits, NoVersion);
  ASSERT_EQ(transactions.size(), 1U);
  auto final_record = store::ReadFinal(transactions[0].writes[0].value);
  ASSERT_TRUE(final_record);
  EXPECT_EQ(final_record->phase, model::JobPhase::kCancelled);
}

TEST(BuildTransactions, TransactionsStayWithinTheLimits) {
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

// Something in a transaction was refused: what was in it goes by itself the next time, so that it
// holds up nothing else.
TEST(BuildTransactions, RefusedWritesGoAlone) {
  JobTable job_table(64);
  std::vector<TaskTransition> all;
  for (const char* id : {"run-1", "run-2", "run-3"}) {
    PutJob(job_table, Spec(id, 2));
    TaskTransition m;
    m.task = {id, 0};
    m.attempt = 1;
    m.machine = "vm-1";
    all.push_back(m);
  }
  std::set<std::string> alone;
  TransactionLimits limits = {8, {{"block", 5}}, 0, 0, true, 0, &alone};
  auto version = [](const std::string&) { return 1; };
  EXPECT_EQ(BuildTransactions(job_table, all, limits, version).size(), 1U);
  alone.insert(store::TaskGroupKey("run-2", 0));
  auto transactions = BuildTransactions(job_table, all, limits, version);
  ASSERT_EQ(transactions.size(), 3U);
  EXPECT_EQ(transactions[1].writes.size(), 1U);
  EXPECT_EQ(transactions[1].writes[0].key, store::TaskGroupKey("run-2", 0));
}

}  // namespace
}  // namespace hallpier::jobs
