// Detection of machines whose heartbeats arrive while the leader's responses are lost.
#include "fleet/response_acknowledgement.h"

#include <gtest/gtest.h>

#include "model/heartbeat.h"
#include "model/task.h"
#include "worker_registry_fixture.h"

namespace hallpier::fleet {
namespace {

using namespace testing_support;

class ResponseAcknowledgementTest : public WorkerRegistryFixture {};

// Heartbeats alone show the loss: they never carry the token that every response contains.
TEST_F(ResponseAcknowledgementTest, MachineThatNeverReportsTokenGetsNoTasksAndKeepsPlacements) {
  for (int i = 1; i <= 5; ++i) Heartbeat(1, static_cast<uint64_t>(i), {}, 3 * i);
  EXPECT_TRUE(registry_.AreResponsesLost(*registry_.Find("vm-1"), 15));
  EXPECT_FALSE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 15));
  EXPECT_FALSE(IsRequeued(15))
      << "nothing proves that the former leader's start command was not executed";
  registry_.OnTerminated("vm-1");
  EXPECT_TRUE(IsRequeued(16));
}

TEST_F(ResponseAcknowledgementTest, ResponsesCountAsLostUntilCommandedTaskIsReported) {
  Heartbeat(1, 1, kToken, 3);
  EXPECT_TRUE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 3));
  for (int i = 2; i <= 6; ++i) Heartbeat(1, static_cast<uint64_t>(i), kToken, 3 * i);
  EXPECT_TRUE(registry_.AreResponsesLost(*registry_.Find("vm-1"), 18));
  // A late report of the commanded task shows that the responses do arrive.
  Heartbeat(1, 7, kToken, 21, {MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kFetching)});
  EXPECT_FALSE(registry_.AreResponsesLost(*registry_.Find("vm-1"), 21));
}

// A new agent epoch is taken as a sign that the lease expired although the leader responded.
TEST_F(ResponseAcknowledgementTest, MachineWhoseLeaseExpiresDespiteResponsesGetsNoTasks) {
  const auto running_task = MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning);
  for (int i = 1; i <= 10; ++i)
    Heartbeat(1, static_cast<uint64_t>(i), kToken, 3 * i, {running_task});
  EXPECT_FALSE(registry_.AreResponsesLost(*registry_.Find("vm-1"), 30));
  Heartbeat(2, 11, kToken, 33);
  Heartbeat(2, 12, kToken, 36);
  EXPECT_FALSE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 36));
}

}  // namespace
}  // namespace hallpier::fleet
