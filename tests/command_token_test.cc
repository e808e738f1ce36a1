// The token of the commands to a machine: each test covers one way in which a copy of an executed
// start command could have an effect, or in which a raised token could delay work.
#include "fleet/command_token.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "fleet/reconciliation.h"
#include "model/heartbeat.h"
#include "model/task.h"
#include "worker_registry_fixture.h"

namespace hallpier::fleet {
namespace {

using namespace testing_support;

class CommandTokenTest : public WorkerRegistryFixture {
 protected:
  // Starts the recorded attempt with a direct command, which the worker answers.
  void StartDirectly() {
    Heartbeat(1, 1, kToken, 1);
    SendDirectly();
    OnDirectCommandFinished(registry_, "vm-1", commands_, kToken, true);
  }
  void SendDirectly() { commands_ = Reconcile(registry_, Vm1(), job_table_, true); }
  // Records the end of the attempt at kCommitted.
  void RecordEnd() {
    PutOpenTask(job_table_, "run-1", 0, 1, "");
    registry_.OnCommitted(kCommitted.value());
  }
  std::vector<model::WorkerCommand> ReportExit(uint64_t sequence, model::FencingToken token) {
    return Heartbeat(1, sequence, token, static_cast<double>(sequence), {exited_});
  }
  static bool HasForget(const std::vector<model::WorkerCommand>& commands) {
    return std::any_of(commands.begin(), commands.end(), [](const auto& command) {
      return command.kind == model::CommandKind::kForget;
    });
  }
  Machine& Vm1() { return *registry_.Find("vm-1"); }

  static constexpr model::FencingToken kCommitted{20};
  const model::TaskStatus exited_ =
      MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError);
  std::vector<model::WorkerCommand> commands_;
};

TEST_F(CommandTokenTest, ForgetGoesOutUnderAHigherTokenThanTheStart) {
  StartDirectly();
  RecordEnd();
  commands_ = ReportExit(2, kToken);
  ASSERT_EQ(commands_.size(), 1U);
  EXPECT_EQ(commands_[0].kind, model::CommandKind::kForget);
  EXPECT_EQ(registry_.CommandToken(Vm1()), kCommitted);
  EXPECT_EQ(registry_.token(), kToken) << "other machines keep the leader's token";
}

TEST_F(CommandTokenTest, TokenIsRaisedOncePerStart) {
  StartDirectly();
  RecordEnd();
  ReportExit(2, kToken);
  registry_.OnCommitted(kCommitted.value() + 1);
  EXPECT_EQ(ReportExit(3, kCommitted).size(), 1U);
  EXPECT_EQ(registry_.CommandToken(Vm1()), kCommitted);
}

TEST_F(CommandTokenTest, ForgetAwaitsTheResponseToAnotherStart) {
  StartDirectly();
  RecordEnd();
  PutOpenTask(job_table_, "run-1", 1, 1, "vm-1");
  SendDirectly();
  EXPECT_FALSE(HasForget(ReportExit(2, kToken)))
      << "a higher token would make the worker reject the start in flight";
  EXPECT_EQ(registry_.CommandToken(Vm1()), kToken);
  OnDirectCommandFinished(registry_, "vm-1", commands_, kToken, true);
  EXPECT_TRUE(HasForget(ReportExit(3, kToken)));
}

TEST_F(CommandTokenTest, RaisedTokenIsNotTakenForAnotherLeaders) {
  StartDirectly();
  RecordEnd();
  ReportExit(2, kToken);
  Heartbeat(1, 3, kCommitted, 3);
  EXPECT_TRUE(registry_.HasSeenToken(Vm1()));
  EXPECT_TRUE(registry_.AcceptsTasks(Vm1(), 3));
  Heartbeat(1, 4, model::FencingToken(kCommitted.value() + 1), 4);
  EXPECT_TRUE(registry_.IsCommandedByOther(Vm1()));
  EXPECT_FALSE(registry_.AcceptsTasks(Vm1(), 4));
}

TEST_F(CommandTokenTest, StartUnderALowerTokenCountsAsAliveUntilTheWorkerHasSeenTheHigherOne) {
  Heartbeat(1, 1, kToken, 1);
  SendDirectly();
  OnDirectCommandFinished(registry_, "vm-1", commands_, kToken, false);
  registry_.OnCommitted(kCommitted.value());
  ASSERT_TRUE(PrepareForget(registry_, Vm1()));
  Heartbeat(1, 2, kToken, 2);  // the response has the start command, and gets lost
  CancelJob();
  Heartbeat(1, 3, kToken, 3);
  EXPECT_FALSE(IsRequeued(3)) << "the direct command may still arrive";
  Heartbeat(1, 4, kCommitted, 4);
  EXPECT_TRUE(IsRequeued(4));
}

TEST_F(CommandTokenTest, UnknownRevisionOfTheEndAsksForAHigherToken) {
  StartDirectly();
  PutOpenTask(job_table_, "run-1", 0, 1, "");  // recorded, and the response was lost
  EXPECT_TRUE(ReportExit(2, kToken).empty());
  EXPECT_TRUE(NeedsHigherToken(registry_, job_table_));
  registry_.SetToken(kNextToken);
  EXPECT_EQ(ReportExit(3, kToken).size(), 1U);
  EXPECT_FALSE(NeedsHigherToken(registry_, job_table_));
}

TEST_F(CommandTokenTest, NewTermForgetsUnderItsOwnToken) {
  StartDirectly();
  PutOpenTask(job_table_, "run-1", 0, 1, "");
  registry_.BeginTerm(kNextToken, 2, 10);
  EXPECT_EQ(ReportExit(2, kToken).size(), 1U);
  EXPECT_EQ(registry_.CommandToken(Vm1()), kNextToken);
}

// The worker dropped the response, since it executed a direct command under a higher token first.
TEST_F(CommandTokenTest, ResponseOvertakenByADirectCommandIsNotCountedAsLost) {
  Heartbeat(1, 1, kToken, 1);
  registry_.OnCommitted(kCommitted.value());
  Heartbeat(1, 2, kCommitted, 2);
  EXPECT_EQ(Vm1().responses.unacknowledged, 0);
}

}  // namespace
}  // namespace hallpier::fleet
