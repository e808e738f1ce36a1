// The choice of running tasks that a round preempts for waiting tasks.
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

TEST_F(PreemptionTest, UrgentTaskPreemptsAttemptThatLosesLeast) {
  auto low = Spec("run-1", 4);
  low.priority = model::Priority::kBestEffort;
  low.estimated_run_s = 500;
  PutJob(job_table_, low);
  model::Heartbeat report = MakeHeartbeat("vm-1", 1, 1, kTestToken);
  for (uint32_t i = 0; i < 4; ++i) {
    PutOpenTask(job_table_, "run-1", i, 1, "vm-1");
    report.tasks.push_back(MakeTaskStatus("run-1", i, 1, model::TaskPhase::kRunning));
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
  EXPECT_TRUE(r.placements.empty()) << "the resources are not free yet";
}

// Guards against preempting the tasks that have run longest. After a takeover the leader does not
// know how long a task has run. Of two tasks that were first reported at about the same time, the
// one of the job with the longer run time has more to lose; a task that the leader started itself
// has less.
TEST_F(PreemptionTest, AfterTakeoverDoesNotPreemptAttemptThatMayHaveRunLong) {
  auto longer = Spec("run-1", 2, 2), shorter = Spec("run-3", 2, 2);
  longer.priority = shorter.priority = model::Priority::kBestEffort;
  longer.estimated_run_s = 500;
  shorter.estimated_run_s = 100;
  PutJob(job_table_, longer);
  PutJob(job_table_, shorter);
  PutOpenTask(job_table_, "run-1", 0, 1, "vm-1");
  PutOpenTask(job_table_, "run-3", 0, 1, "vm-1");
  model::Heartbeat r = MakeHeartbeat("vm-1", 1, 1, kTestToken);
  r.tasks = {MakeTaskStatus("run-3", 0, 1, model::TaskPhase::kRunning)};
  registry_.OnHeartbeat(r, 96, false);
  r.sequence = 2;
  r.tasks.push_back(MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning));
  registry_.OnHeartbeat(r, 99, false);
  auto urgent = Spec("run-2", 1, 2);
  urgent.priority = model::Priority::kUrgent;
  PutJob(job_table_, urgent, 2);
  const auto plan = Plan();
  ASSERT_EQ(plan.preemptions.size(), 1U);
  EXPECT_EQ(plan.preemptions[0].task.job, "run-3");
}

// Guards against endless preemption: on a recorded day a job within its guarantee preempted urgent
// tasks every half second, and these took the resources back because they came first in the order.
TEST_F(PreemptionTest, GuaranteedJobPreemptsOnlyOnceItComesFirst) {
  settings_.teams = {{"other", 0, 0, 0, 0}, {"team", 8, 0, 0, 0}};
  auto beyond_guarantee = Spec("run-1", 4);
  beyond_guarantee.team = "other";
  beyond_guarantee.priority = model::Priority::kUrgent;
  beyond_guarantee.estimated_run_s = 500;
  PutJob(job_table_, beyond_guarantee, 1);
  RunOnVm1(4);
  auto guaranteed = Spec("run-2", 1);
  guaranteed.priority = model::Priority::kBestEffort;
  PutJob(job_table_, guaranteed, 90);
  EXPECT_TRUE(Plan().preemptions.empty());
  PutJob(job_table_, guaranteed, 100 - 31);  // a machine boots in 30 s
  auto r = Plan();
  ASSERT_EQ(r.preemptions.size(), 1U);
  EXPECT_EQ(r.preemptions[0].for_job, "run-2");
}

// Guards against useless preemption: on a recorded day resources were freed on a machine that
// lacked the urgent task's image. The task would have ended later there than in the slot that it
// already had, so it did not use these resources.
TEST_F(PreemptionTest, DoesNotPreemptIfTaskWouldEndLater) {
  auto low = Spec("run-1", 4);
  low.priority = model::Priority::kBestEffort;
  low.estimated_run_s = 20;
  PutJob(job_table_, low);
  RunOnVm1(4);
  auto high = Spec("run-2", 1);
  high.priority = model::Priority::kUrgent;
  PutJob(job_table_, high, 2);
  EXPECT_EQ(Plan().preemptions.size(), 1U);
  low.estimated_run_s = 8;  // the slot becomes free soon without preemption
  PutJob(job_table_, low);
  EXPECT_TRUE(PlanRound(context_, job_table_, registry_, 104, 104).preemptions.empty());
}

TEST_F(PreemptionTest, DoesNotPreemptSameTier) {
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

// Guards against endless preemption: on enlarged deployments a job that came first in the order was
// preempted for a later job, got the resources back in the next round, and was preempted again, a
// hundred times per second.
TEST_F(PreemptionTest, DoesNotPreemptForJobLaterInOrder) {
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
  settings_.teams[0].cpus = 4;  // run-1 is now within the guarantee and has waited long
  EXPECT_TRUE(Plan().preemptions.empty());
}

}  // namespace
}  // namespace hallpier::plan
