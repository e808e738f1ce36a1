// Which running tasks a round preempts, and for which waiting ones.
#include "plan/preemption.h"

#include <gtest/gtest.h>

#include "model/heartbeat.h"
#include "model/job.h"
#include "model/task.h"
#include "plan/round.h"
#include "round_fixture.h"

namespace hallpier::plan {
namespace {

using namespace testing_support;

class PreemptionTest : public RoundFixture {};

TEST_F(PreemptionTest, UrgentWorkStopsWhatLosesLeast) {
  auto low = Spec("run-1", 4);
  low.priority = model::Priority::kBestEffort;
  low.estimated_run_s = 500;
  PutJob(job_table_, low);
  model::Heartbeat report = ReportOf("vm-1", 1, 1, kTestToken);
  for (uint32_t i = 0; i < 4; ++i) {
    Place(job_table_, "run-1", i, 1, "vm-1");
    report.tasks.push_back(TaskReportOf("run-1", i, 1, model::TaskPhase::kRunning));
    report.sequence = i + 1;
    registry_.OnHeartbeat(report, 60 + i, false);
  }
  report.sequence = 9;
  registry_.OnHeartbeat(report, 100, false);
  auto high = Spec("run-2", 1);
  high.priority = model::Priority::kUrgent;
  PutJob(job_table_, high, 2);
  auto r = Plan();
  ASSERT_EQ(r.preemptions.size(), 1U);
  EXPECT_EQ(r.preemptions[0].task.index, 3U) << "it started last";
  EXPECT_TRUE(r.placements.empty()) << "the room is not there yet";
}

// A leader that has just taken over knows of no task how long it has run: of two that it heard of
// at the same moment the one of the longer job has more to lose, and one that it started itself has
// less.
TEST_F(PreemptionTest, AfterATakeoverWhatMayHaveRunLongIsNotStoppedFirst) {
  auto longer = Spec("run-1", 2, 2), shorter = Spec("run-3", 2, 2);
  longer.priority = shorter.priority = model::Priority::kBestEffort;
  longer.estimated_run_s = 500;
  shorter.estimated_run_s = 100;
  PutJob(job_table_, longer);
  PutJob(job_table_, shorter);
  Place(job_table_, "run-1", 0, 1, "vm-1");
  Place(job_table_, "run-3", 0, 1, "vm-1");
  model::Heartbeat r = ReportOf("vm-1", 1, 1, kTestToken);
  r.tasks = {TaskReportOf("run-3", 0, 1, model::TaskPhase::kRunning)};
  registry_.OnHeartbeat(r, 96, false);
  r.sequence = 2;
  r.tasks.push_back(TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning));
  registry_.OnHeartbeat(r, 99, false);
  auto urgent = Spec("run-2", 1, 2);
  urgent.priority = model::Priority::kUrgent;
  PutJob(job_table_, urgent, 2);
  const auto plan = Plan();
  ASSERT_EQ(plan.preemptions.size(), 1U);
  EXPECT_EQ(plan.preemptions[0].task.job, "run-3");
}

// Seen on a recorded day: work within a guarantee stopped urgent tasks every half second, and they
// took the room again, being first in the order.
TEST_F(PreemptionTest, WorkWithinAGuaranteeStopsOthersOnlyOnceItComesFirst) {
  settings_.teams = {{"other", 0, 0, 0, 0}, {"team", 8, 0, 0, 0}};
  auto borrowed = Spec("run-1", 4);
  borrowed.team = "other";
  borrowed.priority = model::Priority::kUrgent;
  borrowed.estimated_run_s = 500;
  PutJob(job_table_, borrowed, 1);
  RunOnVm1(4);
  auto owed = Spec("run-2", 1);
  owed.priority = model::Priority::kBestEffort;
  PutJob(job_table_, owed, 90);
  EXPECT_TRUE(Plan().preemptions.empty());
  PutJob(job_table_, owed, 100 - 31);  // a machine boots in 30 s
  auto r = Plan();
  ASSERT_EQ(r.preemptions.size(), 1U);
  EXPECT_EQ(r.preemptions[0].for_job, "run-2");
}

// Seen on a recorded day: the room was made on a machine that lacked the urgent task's image, where
// it would have ended later than in the slot it had, so that it did not take the room.
TEST_F(PreemptionTest, NothingIsStoppedWhereTheTaskWouldEndLaterEvenSo) {
  auto low = Spec("run-1", 4);
  low.priority = model::Priority::kBestEffort;
  low.estimated_run_s = 20;
  PutJob(job_table_, low);
  RunOnVm1(4);
  auto high = Spec("run-2", 1);
  high.priority = model::Priority::kUrgent;
  PutJob(job_table_, high, 2);
  EXPECT_EQ(Plan().preemptions.size(), 1U);
  low.estimated_run_s = 8;  // the slot comes soon by itself
  PutJob(job_table_, low);
  EXPECT_TRUE(PlanRound(context_, job_table_, registry_, 104, 104).preemptions.empty());
}

TEST_F(PreemptionTest, SameRankIsNeverStopped) {
  auto spec = Spec("run-1", 4);
  spec.priority = model::Priority::kUrgent;
  spec.estimated_run_s = 500;
  PutJob(job_table_, spec);
  RunOnVm1(4);
  auto other = Spec("run-2", 1);
  other.priority = model::Priority::kUrgent;
  PutJob(job_table_, other, 2);
  EXPECT_TRUE(Plan().preemptions.empty());
}

// Seen on the grown deployments: work that the order puts first was stopped for later work, got the
// room back in the next round, and was stopped again, a hundred times a second.
TEST_F(PreemptionTest, NobodyIsStoppedForWorkThatComesLater) {
  auto first = Spec("run-1", 4);
  first.priority = model::Priority::kBestEffort;
  first.estimated_run_s = 500;
  PutJob(job_table_, first, 1);
  RunOnVm1(4);
  auto urgent = Spec("run-2", 1);
  urgent.team = "other";
  urgent.priority = model::Priority::kUrgent;
  PutJob(job_table_, urgent, 99);
  settings_.teams = {{"team", 0, 0, 0, 0}, {"other", 0, 0, 0, 0}};
  EXPECT_EQ(Plan().preemptions.size(), 1U);
  settings_.teams[0].cpus = 4;  // what runs is owed to its team, and has waited for long
  EXPECT_TRUE(Plan().preemptions.empty());
}

}  // namespace
}  // namespace hallpier::plan
