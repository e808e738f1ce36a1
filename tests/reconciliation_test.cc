// Commands that bring a machine in line with its recorded placements.
#include "fleet/reconciliation.h"

#include <gtest/gtest.h>

#include "fleet/task_outcomes.h"
#include "model/heartbeat.h"
#include "model/task.h"
#include "worker_registry_fixture.h"

namespace hallpier::fleet {
namespace {

using namespace testing_support;
using Kind = jobs::TaskTransition::Kind;

class ReconciliationTest : public WorkerRegistryFixture {};

TEST_F(ReconciliationTest, ResendsRecordedStartThatWorkerDoesNotReport) {
  auto commands = Heartbeat(1, 1, {}, 1);
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].kind, model::CommandKind::kRun);
  EXPECT_EQ(commands[0].attempt, 1U);
  EXPECT_FALSE(IsRequeued(2));
}

TEST_F(ReconciliationTest, SendsNoForgetWhileLostStartMayStillArrive) {
  Heartbeat(1, 1, kToken, 1);
  auto commands = Reconcile(registry_, *registry_.Find("vm-1"), job_table_, true);
  OnDirectCommandFinished(registry_, "vm-1", commands, kToken, false);
  PutOpenTask(job_table_, "run-1", 0, 1, "");  // the end of the attempt is recorded
  auto commands_in_response = Heartbeat(
      1, 2, kToken, 2,
      {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kStopped)});
  EXPECT_TRUE(commands_in_response.empty())
      << "after a forget command, a late start command would run the attempt again";
}

TEST_F(ReconciliationTest, SendsNoForgetWhileCopyOfAnsweredStartWouldBeExecuted) {
  Heartbeat(1, 1, kToken, 1);
  auto commands = Reconcile(registry_, *registry_.Find("vm-1"), job_table_, true);
  ASSERT_EQ(commands.size(), 1U);
  OnDirectCommandFinished(registry_, "vm-1", commands, kToken, true);
  PutOpenTask(job_table_, "run-1", 0, 1, "");  // the end of the attempt is recorded
  auto commands_in_response = Heartbeat(
      1, 2, kToken, 2,
      {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)});
  EXPECT_TRUE(commands_in_response.empty())
      << "after a forget command, a copy of the start command would run the attempt again";
}

TEST_F(ReconciliationTest, SendsForgetOnlyOnceCompletionIsRecorded) {
  auto done = MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kDone);
  auto commands = Heartbeat(1, 1, kToken, 1, {done});
  EXPECT_TRUE(commands.empty());
  auto outcomes = CollectTaskTransitions(registry_, job_table_, 1);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].kind, Kind::kDone);
  store::TaskGroup task_group;
  task_group.done.Insert(0);
  PutTaskGroup(job_table_, "run-1", 0, task_group);
  commands = Heartbeat(1, 2, kToken, 2, {done});
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].kind, model::CommandKind::kForget);
}

TEST_F(ReconciliationTest, StopsTasksThatAreNotRecorded) {
  auto commands = Heartbeat(1, 1, kToken, 1,
                            {MakeTaskStatus("run-9", 3, 2, model::TaskPhase::kRunning),
                             MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning)});
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].kind, model::CommandKind::kStop);
  EXPECT_EQ(commands[0].task.job, "run-9");
}

TEST_F(ReconciliationTest, StopsCancelledTasksWithoutGracePeriod) {
  CancelJob();
  auto commands =
      Heartbeat(1, 1, kToken, 1, {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning)});
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].kind, model::CommandKind::kStop);
  EXPECT_EQ(commands[0].grace_s, 0);
}

}  // namespace
}  // namespace hallpier::fleet
