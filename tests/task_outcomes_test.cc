// The outcomes of recorded placements, derived from the reports of their machines.
#include "fleet/task_outcomes.h"

#include <gtest/gtest.h>

#include "fleet/reconciliation.h"
#include "model/heartbeat.h"
#include "model/task.h"
#include "worker_registry_fixture.h"

namespace hallpier::fleet {
namespace {

using namespace testing_support;
using Kind = jobs::TaskTransition::Kind;

class TaskOutcomesTest : public WorkerRegistryFixture {};

// Guards against running a task twice. The lease of a machine in a partitioned zone has expired,
// and the zone recovers while the requeue is being written. The worker has lost its tasks, but must
// not be told to start this one again: the write may be in flight, and the task would then run both
// on this machine and elsewhere.
TEST_F(TaskOutcomesTest, AttemptIsNotRestartedWhileItsRequeueIsBeingWritten) {
  PutOpenTask(job_table_, "run-1", 0, 1, "vm-1");
  auto requeued = CollectTaskTransitions(registry_, job_table_, 1000);
  ASSERT_EQ(requeued.size(), 1U);
  EXPECT_EQ(requeued[0].kind, jobs::TaskTransition::Kind::kRequeue);
  EXPECT_TRUE(Heartbeat(2, 1, kToken, 1000).empty());
  // The write has failed: the task is requeued again, this time because it was never started.
  auto again = CollectTaskTransitions(registry_, job_table_, 1001);
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].reason, "never started");
  // The write has succeeded: the next attempt may start on the same machine.
  PutOpenTask(job_table_, "run-1", 0, 2, "vm-1");
  CollectTaskTransitions(registry_, job_table_, 1002);
  EXPECT_EQ(Reconcile(registry_, *registry_.Find("vm-1"), job_table_, false).size(), 1U);
}

// The first heartbeat that a new leader receives from a machine is a duplicate from an earlier
// epoch. An exit that it reports proves nothing, since the attempt was started again in the next
// epoch.
TEST_F(TaskOutcomesTest, FailureReportedUnderFormerTokenDoesNotRequeue) {
  Heartbeat(1, 40, kFormerToken, 1,
            {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)});
  EXPECT_FALSE(IsRequeued(1));
  Heartbeat(2, 55, kFormerToken, 2, {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning)});
  EXPECT_FALSE(IsRequeued(2)) << "the attempt is running";
  EXPECT_TRUE(
      Heartbeat(2, 56, kToken, 3, {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning)})
          .empty());
  Heartbeat(2, 57, kToken, 4,
            {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)});
  EXPECT_TRUE(IsRequeued(4)) << "the exit was reported to this leader";
}

// An attempt that has exited must not be started again in the agent's next epoch, even if its end
// has not been written yet: its resources may have been given to other tasks.
TEST_F(TaskOutcomesTest, ExitedAttemptIsNotRestartedInNextEpoch) {
  Heartbeat(1, 1, kToken, 1, {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning)});
  Heartbeat(1, 2, kToken, 4,
            {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kStopped)});
  EXPECT_TRUE(IsRequeued(4));
  EXPECT_TRUE(Heartbeat(2, 3, kToken, 50).empty());
}

// A completion counts regardless of the leader to which it was reported, because the result is
// kept.
TEST_F(TaskOutcomesTest, CompletionReportedUnderFormerTokenCounts) {
  Heartbeat(1, 40, kFormerToken, 1,
            {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kDone)});
  const auto found = CollectTaskTransitions(registry_, job_table_, 1);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].kind, Kind::kDone);
}

}  // namespace
}  // namespace hallpier::fleet
