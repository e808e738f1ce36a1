// A recorded placement counts as alive until it is proven gone. Each test covers one way in which a
// proof could be wrong.
#include "fleet/placement_proof.h"

#include <gtest/gtest.h>

#include "fleet/reconciliation.h"
#include "model/cloud.h"
#include "model/heartbeat.h"
#include "model/task.h"
#include "worker_registry_fixture.h"

namespace hallpier::fleet {
namespace {

using namespace testing_support;

class PlacementProofTest : public WorkerRegistryFixture {};

TEST_F(PlacementProofTest, ReportUnderFormerTokenProvesNothing) {
  CancelJob();
  Heartbeat(1, 1, kFormerToken, 1);
  EXPECT_FALSE(IsRequeued(1)) << "a start command of an earlier leader may still be in flight";
  Heartbeat(1, 2, kToken, 2);
  EXPECT_TRUE(IsRequeued(2));
}

TEST_F(PlacementProofTest, HeartbeatDoesNotDisproveStartSentInItsResponse) {
  Heartbeat(1, 5, kToken, 1);  // the response contains the start command
  CancelJob();
  EXPECT_FALSE(IsRequeued(1));
  model::Heartbeat direct = MakeHeartbeat("vm-1", 1, 6, kToken);
  registry_.OnHeartbeat(direct, 1.5, true);
  EXPECT_FALSE(IsRequeued(1.5))
      << "a response to /commands may overtake the response to a heartbeat";
  Heartbeat(1, 7, kToken, 2);
  EXPECT_TRUE(IsRequeued(2));
}

TEST_F(PlacementProofTest, IgnoresStaleReport) {
  Heartbeat(1, 9, kToken, 1, {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning)});
  CancelJob();
  Heartbeat(1, 4, kToken, 60);  // delayed by a minute
  EXPECT_FALSE(IsRequeued(20));
}

TEST_F(PlacementProofTest, LostDirectStartCountsAsAliveUntilEpochEnds) {
  Heartbeat(1, 1, kToken, 1,
            {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kStopped)});
  PutOpenTask(job_table_, "run-1", 0, 2, "vm-1");
  auto commands = Reconcile(registry_, *registry_.Find("vm-1"), job_table_, true);
  OnDirectCommandFinished(registry_, "vm-1", commands, kToken, false);
  CancelJob();
  Heartbeat(1, 2, kToken, 4);
  Heartbeat(1, 3, kToken, 7);
  EXPECT_FALSE(IsRequeued(7));
  EXPECT_TRUE(NeedsHigherToken(registry_, job_table_));
  Heartbeat(2, 4, kToken, 10);
  EXPECT_TRUE(IsRequeued(10));
}

TEST_F(PlacementProofTest, HigherTokenInvalidatesLostStart) {
  Heartbeat(1, 1, kToken, 1);
  auto commands = Reconcile(registry_, *registry_.Find("vm-1"), job_table_, true);
  OnDirectCommandFinished(registry_, "vm-1", commands, kToken, false);
  CancelJob();
  Heartbeat(1, 2, kToken, 2);
  registry_.SetToken(kNextToken);
  EXPECT_FALSE(IsRequeued(3)) << "the worker has not seen the new token yet";
  Heartbeat(1, 3, kNextToken, 4);
  EXPECT_TRUE(IsRequeued(4));
}

TEST_F(PlacementProofTest, SilentMachineKeepsPlacementUntilLeaseOfLastPossibleResponseExpires) {
  Heartbeat(1, 1, kToken, 50, {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning)});
  EXPECT_FALSE(IsRequeued(80)) << "the lease counts from the response, by the worker's clock";
  EXPECT_TRUE(IsRequeued(82));
}

// Duplicates of a heartbeat that keep arriving for longer than a lease must not renew the lease:
// the worker that sent the heartbeat may be long gone.
TEST_F(PlacementProofTest, DuplicateHeartbeatsNeitherRenewLeaseNorRestoreState) {
  const auto running_task = MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning);
  Heartbeat(1, 5, kToken, 50, {running_task});
  for (double t = 52; t < 81; t += 2) Heartbeat(1, 4, kToken, t, {running_task});
  EXPECT_FALSE(IsRequeued(80));
  EXPECT_TRUE(IsRequeued(82));
  EXPECT_FALSE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 82))
      << "a silent machine gets no new tasks";
  // The task now runs elsewhere, and the agent has begun a new epoch. A duplicate from before must
  // not undo either.
  PutOpenTask(job_table_, "run-1", 0, 2, "vm-2");
  Heartbeat(2, 9, kToken, 83);
  auto commands = Heartbeat(1, 6, kToken, 140, {running_task});
  EXPECT_TRUE(commands.empty());
  EXPECT_EQ(registry_.Find("vm-1")->agent.epoch, model::AgentEpoch(2));
  EXPECT_TRUE(registry_.Find("vm-1")->reported_tasks.empty());
}

// After a restart the leader knows no machines, and the first heartbeat that arrives is a delayed
// duplicate from an earlier epoch. It proves nothing because its token is not the leader's, and the
// newest heartbeat replaces its contents.
TEST_F(PlacementProofTest, DuplicateHeartbeatAfterLeaderRestartProvesNothing) {
  CancelJob();
  Heartbeat(1, 40, kFormerToken, 20);
  EXPECT_FALSE(IsRequeued(21));
  Heartbeat(3, 90, kFormerToken, 22, {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning)});
  EXPECT_FALSE(IsRequeued(23)) << "it runs in the newer epoch";
  Heartbeat(1, 41, kFormerToken, 24);
  EXPECT_EQ(registry_.Find("vm-1")->reported_tasks.size(), 1U);
}

// A machine can't reach any controller, but direct commands reach it. Its lease expires, and in the
// agent's next epoch a direct command starts the recorded attempt again. The new epoch has a
// separate lease, so the expiry of the first lease does not prove that the attempt is gone.
TEST_F(PlacementProofTest, AttemptStartedByDirectCommandLivesUntilLeaseOfItsEpochExpires) {
  Heartbeat(1, 1, kToken, 0, {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning)});
  registry_.OnHeartbeat(MakeHeartbeat("vm-1", 2, 9, kToken), 30.5,
                        true);  // the response to a direct command
  auto commands = Reconcile(registry_, *registry_.Find("vm-1"), job_table_, true);
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].kind, model::CommandKind::kRun);
  model::Heartbeat started = MakeHeartbeat("vm-1", 2, 10, kToken);
  started.tasks = {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning)};
  registry_.OnHeartbeat(started, 31, true);
  OnDirectCommandFinished(registry_, "vm-1", commands, kToken, true);
  EXPECT_FALSE(IsRequeued(45))
      << "the attempt runs in the second epoch until the lease of that epoch expires";
  EXPECT_FALSE(IsRequeued(60));
  EXPECT_TRUE(IsRequeued(63));
}

TEST_F(PlacementProofTest, UnknownMachineKeepsPlacementUntilLeaseFromFormerLeaderExpires) {
  EXPECT_FALSE(IsRequeued(39));
  EXPECT_TRUE(IsRequeued(42));
}

TEST_F(PlacementProofTest, ConfirmedTerminationFreesPlacementAtOnce) {
  Heartbeat(1, 1, kToken, 1, {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning)});
  registry_.OnTerminated("vm-1");
  EXPECT_TRUE(IsRequeued(1));
}

TEST_F(PlacementProofTest, UnlistedMachineIsGoneOnlyAfterListLag) {
  Heartbeat(1, 1, kToken, 1, {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning)});
  model::CloudMachine listed{
      "vm-1", "127.0.0.1:1", "c4", "a", false, model::CloudMachineState::kRunning, 5};
  registry_.OnCloudList({listed}, 1, 2);
  registry_.OnCloudList({}, 6, 6);
  EXPECT_FALSE(IsRequeued(6)) << "a list may be older than the one before it";
  registry_.OnCloudList({}, 8, 13);
  EXPECT_FALSE(IsRequeued(13)) << "the age of a list counts from when it was requested";
  registry_.OnCloudList({}, 13, 13);
  EXPECT_TRUE(IsRequeued(13));
}

}  // namespace
}  // namespace hallpier::fleet
