// Transactions of a round: the grouping of changes, their order and their limits.
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

TaskTransition MakeTransition(Kind kind, uint32_t index, uint64_t attempt,
                              const std::string& machine) {
  TaskTransition transition;
  transition.kind = kind;
  transition.task = {"run-1", index};
  transition.attempt = attempt;
  transition.machine = machine;
  return transition;
}

// Guards against two block owners that place tasks of a one-zone job concurrently in different
// zones. Placements in different task groups have preconditions on different keys. The job's record
// is the same key for both, so each placement rewrites it as well.
TEST(BuildTransactions, ConcurrentPlacementOfOneZoneJobRewritesJobRecord) {
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

// Guards against task group values over the limit of the state service, which rejects the whole
// value. Machine names may be longer than the group size allows for. Placements that do not fit
// wait until other tasks have ended.
TEST(BuildTransactions, PlacementsOverValueLimitWait) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 40));
  std::vector<TaskTransition> transitions;
  for (uint32_t i = 0; i < 40; ++i) {
    transitions.push_back(
        MakeTransition(Kind::kPlace, i, 1, std::string(60, 'm') + std::to_string(i)));
  }
  TransactionLimits limits = kLimits;
  limits.max_value_bytes = 1024;
  auto transactions = BuildTransactions(job_table, transitions, limits, NoVersion);
  ASSERT_EQ(transactions.size(), 1U);
  EXPECT_LE(transactions[0].writes[0].value.size(), 1024U);
  EXPECT_EQ(transactions[0].machines.size(), 10U);
  EXPECT_EQ(store::ReadTaskGroup(transactions[0].writes[0].value)->open.size(), 10U);
}

// With more writes than the budget allows, urgent placements come first and ends of single tasks
// last, unless they have waited long. The end of a job's last task goes into the transaction that
// makes the job final.
TEST(BuildTransactions, WritesOverBudgetAreOrderedByPriority) {
  JobTable job_table(64);
  model::JobSpec urgent = Spec("run-4", 1);
  urgent.priority = model::Priority::kUrgent;
  for (const auto& spec : {Spec("run-1", 4), Spec("run-2", 1), Spec("run-3", 4), urgent}) {
    PutJob(job_table, spec);
  }
  for (const char* id : {"run-1", "run-2"}) PutOpenTask(job_table, id, 0, 1, "vm-1");
  auto for_job = [](const char* job, TaskTransition transition) {
    transition.task.job = job;
    return transition;
  };
  TransactionLimits limits = kLimits;
  limits.max_writes = 3;
  limits.task_end_max_wait_s = 5;
  std::vector<TaskTransition> transitions = {
      for_job("run-1", MakeTransition(Kind::kDone, 0, 1, "vm-1")),
      for_job("run-3", MakeTransition(Kind::kPlace, 0, 1, "vm-2")),
      for_job("run-2", MakeTransition(Kind::kDone, 0, 1, "vm-1")),
      for_job("run-4", MakeTransition(Kind::kPlace, 0, 1, "vm-3"))};
  auto priorities = [&] {
    std::vector<WritePriority> out;
    for (const auto& t : BuildTransactions(job_table, transitions, limits, NoVersion))
      out.push_back(t.priority);
    return out;
  };
  EXPECT_EQ(priorities(),
            (std::vector<WritePriority>{WritePriority::kUrgentPlacement, WritePriority::kJobEnd,
                                        WritePriority::kPlacement}));
  transitions[0].known_for_s = 6;
  transitions.erase(transitions.begin() + 1);
  EXPECT_EQ(priorities().back(), WritePriority::kPlacement);
}

TEST(BuildTransactions, PlacementHasTokenJobAndTaskGroupAsPreconditions) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 4));
  auto transactions = BuildTransactions(job_table, {MakeTransition(Kind::kPlace, 2, 1, "vm-1")},
                                        kLimits, [](const std::string& key) { return key.size(); });
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
      BuildTransactions(job_table, {MakeTransition(Kind::kPlace, 2, 1, "vm-1")}, kLimits, NoVersion)
          .empty());
}

TEST(BuildTransactions, OutcomeOfAnotherAttemptOrMachineIsSkipped) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 4));
  PutOpenTask(job_table, "run-1", 0, 2, "vm-1");
  EXPECT_TRUE(
      BuildTransactions(job_table, {MakeTransition(Kind::kDone, 0, 1, "vm-1")}, kLimits, NoVersion)
          .empty());
  EXPECT_TRUE(
      BuildTransactions(job_table, {MakeTransition(Kind::kDone, 0, 2, "vm-2")}, kLimits, NoVersion)
          .empty());
}

TEST(BuildTransactions, LastTaskMakesJobFinalInSameTransaction) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 2));
  store::TaskGroup task_group;
  task_group.done.Insert(0);
  task_group.open[1] = {1, "vm-1"};
  PutTaskGroup(job_table, "run-1", 0, task_group);
  auto transactions =
      BuildTransactions(job_table, {MakeTransition(Kind::kDone, 1, 1, "vm-1")}, kLimits, NoVersion);
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

TEST(BuildTransactions, CancelledJobIsFinalOnlyOnceNoTaskIsPlaced) {
  JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 2), 1, true);
  PutOpenTask(job_table, "run-1", 0, 1, "vm-1");
  EXPECT_TRUE(BuildTransactions(job_table, {}, kLimits, NoVersion).empty());
  auto transactions = BuildTransactions(job_table, {MakeTransition(Kind::kRequeue, 0, 1, "vm-1")},
                                        kLimits, NoVersion);
  ASSERT_EQ(transactions.size(), 1U);
  auto final_record = store::ReadFinal(transactions[0].writes[0].value);
  ASSERT_TRUE(final_record);
  EXPECT_EQ(final_record->phase, model::JobPhase::kCancelled);
}

TEST(BuildTransactions, TransactionsStayWithinLimits) {
  JobTable job_table(4);
  std::vector<TaskTransition> transitions;
  PutJob(job_table, Spec("run-1", 400));
  for (uint32_t i = 0; i < 400; ++i)
    transitions.push_back(MakeTransition(Kind::kPlace, i, 1, "vm-1"));
  auto transactions = BuildTransactions(job_table, transitions, kLimits, NoVersion);
  size_t writes = 0;
  for (const auto& t : transactions) {
    EXPECT_LE(t.writes.size(), 8U);
    EXPECT_LE(t.preconditions.size(), 32U);
    EXPECT_EQ(t.preconditions[0].key, "block");
    writes += t.writes.size();
  }
  EXPECT_EQ(writes, 100U);
}

// Guards against a rejected write that delays others. The keys of a rejected transaction are
// isolated: each is written in a separate transaction the next time.
TEST(BuildTransactions, IsolatedKeysShareNoTransaction) {
  JobTable job_table(64);
  std::vector<TaskTransition> transitions;
  for (const char* id : {"run-1", "run-2", "run-3"}) {
    PutJob(job_table, Spec(id, 2));
    TaskTransition transition;
    transition.task = {id, 0};
    transition.attempt = 1;
    transition.machine = "vm-1";
    transitions.push_back(transition);
  }
  std::set<std::string> isolated_keys;
  TransactionLimits limits = {8, {{"block", 5}}, 0, 0, true, 0, &isolated_keys};
  auto version = [](const std::string&) { return 1; };
  EXPECT_EQ(BuildTransactions(job_table, transitions, limits, version).size(), 1U);
  isolated_keys.insert(store::TaskGroupKey("run-2", 0));
  auto transactions = BuildTransactions(job_table, transitions, limits, version);
  ASSERT_EQ(transactions.size(), 3U);
  EXPECT_EQ(transactions[1].writes.size(), 1U);
  EXPECT_EQ(transactions[1].writes[0].key, store::TaskGroupKey("run-2", 0));
}

}  // namespace
}  // namespace hallpier::jobs
