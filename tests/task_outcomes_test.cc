// What has become of recorded placements, by what their machines report of them.
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

// The lease of a machine in a partitioned zone has expired; while the requeueing is being written
// the zone comes back. The worker, which has lost everything, must not be told to start the task
// again: the write may be on its way, and the task would run here and elsewhere.
TEST_F(TaskOutcomesTest, WhatIsGivenUpIsNotStartedAgainWhileThatIsWritten) {
  Place(job_table_, "run-1", 0, 1, "vm-1");
  auto given_up = CollectTaskTransitions(registry_, job_table_, 1000);
  ASSERT_EQ(given_up.size(), 1U);
  EXPECT_EQ(given_up[0].kind, jobs::TaskTransition::Kind::kRequeue);
  EXPECT_TRUE(Heartbeat(2, 1, kToken, 1000).empty());
  // The write has failed: the task is requeued once more, now as one that was never started.
  auto again = CollectTaskTransitions(registry_, job_table_, 1001);
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].reason, "never started");
  // The write has succeeded: the next attempt may start on the same machine.
  Place(job_table_, "run-1", 0, 2, "vm-1");
  CollectTaskTransitions(registry_, job_table_, 1002);
  EXPECT_EQ(Reconcile(registry_, *registry_.Find("vm-1"), job_table_, false).size(), 1U);
}

// The first heartbeat that a new leader gets of a machine is a copy from an earlier epoch: an exit
// that it reports proves nothing, since the attempt was started again in the next epoch.
TEST_F(TaskOutcomesTest, AnOldReportOfAnEndFreesNothingInANewTerm) {
  Heartbeat(1, 40, kFormerToken, 1,
            {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)});
  EXPECT_FALSE(IsRequeued(1));
  Heartbeat(2, 55, kFormerToken, 2, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)});
  EXPECT_FALSE(IsRequeued(2)) << "it runs";
  EXPECT_TRUE(Heartbeat(2, 56, kToken, 3, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)})
                  .empty());
  Heartbeat(2, 57, kToken, 4,
            {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)});
  EXPECT_TRUE(IsRequeued(4)) << "reported to this leader";
}

// An attempt that has exited is over, even if that is not written for a while: in the agent's next
// epoch it is not started again, since its room may have been given to others.
TEST_F(TaskOutcomesTest, AnAttemptThatEndedIsNotStartedAgainInTheNextEpoch) {
  Heartbeat(1, 1, kToken, 1, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)});
  Heartbeat(1, 2, kToken, 4,
            {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kStopped)});
  EXPECT_TRUE(IsRequeued(4));
  EXPECT_TRUE(Heartbeat(2, 3, kToken, 50).empty());
}

// A completion counts whichever leader it was reported to: the result is kept.
TEST_F(TaskOutcomesTest, AnOldReportOfACompletionCounts) {
  Heartbeat(1, 40, kFormerToken, 1,
            {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kDone)});
  const auto found = CollectTaskTransitions(registry_, job_table_, 1);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].kind, Kind::kDone);
}

}  // namespace
}  // namespace hallpier::fleet
