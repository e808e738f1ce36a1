// A recorded placement counts as alive until it is proven gone: each test is one way to be wrong.
#include "fleet/worker_registry.h"

#include <gtest/gtest.h>

#include "fixtures.h"
#include "model/cloud.h"
#include "model/heartbeat.h"
#include "model/task.h"

namespace hallpier::fleet {
namespace {

using namespace testing_support;
using Kind = jobs::TaskTransition::Kind;

class RosterTest : public testing::Test {
 protected:
  RosterTest() : job_table_(64), registry_({3, 30, 3, 4}) {
    PutJob(job_table_, Spec("run-1", 4));
    Place(job_table_, "run-1", 0, 1, "vm-1");
    registry_.BeginTerm(kToken, 0, 10);
  }

  std::vector<model::WorkerCommand> Checkin(uint64_t agent_epoch, uint64_t sequence,
                                            model::FencingToken token, double now,
                                            std::vector<model::TaskStatus> tasks = {}) {
    model::Heartbeat r = ReportOf("vm-1", agent_epoch, sequence, token);
    r.tasks = std::move(tasks);
    registry_.OnHeartbeat(r, now, false);
    const Machine& m = *registry_.Find("vm-1");
    std::vector<model::WorkerCommand> commands;
    if (m.agent_epoch == model::AgentEpoch(agent_epoch) && m.sequence == sequence) {
      commands = registry_.Reconcile(*registry_.Find("vm-1"), job_table_, false);
    }
    registry_.OnAnswered(r, commands, now);
    return commands;
  }

  bool Freed(double now) {
    for (const auto& m : registry_.Collect(job_table_, now)) {
      if (m.kind == Kind::kRequeue) return true;
    }
    return false;
  }

  void Cancel() { PutJob(job_table_, Spec("run-1", 4), 1, true); }

  // A job of nine tasks, of which three are done in 10 s each, and three more are placed on vm-1.
  // They are returned as running.
  std::vector<model::TaskStatus> JobWithKnownTimes() {
    store::TaskGroup task_group;
    for (uint32_t i = 0; i < 3; ++i) task_group.done.Insert(i);
    task_group.runs["c4"] = {3, 30};
    PutJob(job_table_, Spec("run-2", 9));
    PutTaskGroup(job_table_, "run-2", 0, task_group);
    std::vector<model::TaskStatus> tasks;
    for (uint32_t i : {3U, 4U, 5U}) {
      Place(job_table_, "run-2", i, 1, "vm-1");
      tasks.push_back(TaskReportOf("run-2", i, 1, model::TaskPhase::kRunning));
    }
    return tasks;
  }

  static constexpr model::FencingToken kToken{7};
  static constexpr model::FencingToken kNextToken{8};
  static constexpr model::FencingToken kFormerToken{6};
  jobs::JobTable job_table_;
  WorkerRegistry registry_;
};

TEST_F(RosterTest, ResendsARecordedStartThatTheWorkerLacks) {
  auto commands = Checkin(1, 1, {}, 1);
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].kind, model::CommandKind::kRun);
  EXPECT_EQ(commands[0].attempt, 1U);
  EXPECT_FALSE(Freed(2));
}

TEST_F(RosterTest, AnOldTokensReportProvesNothing) {
  Cancel();
  Checkin(1, 1, kFormerToken, 1);
  EXPECT_FALSE(Freed(1)) << "an old leader's order may still be on its way";
  Checkin(1, 2, kToken, 2);
  EXPECT_TRUE(Freed(2));
}

TEST_F(RosterTest, AnOrderInFlightIsNotDisprovedByTheReportItAnswers) {
  Checkin(1, 5, kToken, 1);  // answered with the start order
  Cancel();
  EXPECT_FALSE(Freed(1));
  model::Heartbeat direct = ReportOf("vm-1", 1, 6, kToken);
  registry_.OnHeartbeat(direct, 1.5, true);
  EXPECT_FALSE(Freed(1.5)) << "an answer to /commands may overtake the answer to a report";
  Checkin(1, 7, kToken, 2);
  EXPECT_TRUE(Freed(2));
}

TEST_F(RosterTest, AStaleReportChangesNothing) {
  Checkin(1, 9, kToken, 1, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)});
  Cancel();
  Checkin(1, 4, kToken, 60);  // held back for a minute
  EXPECT_FALSE(Freed(20));
}

TEST_F(RosterTest, ALostDirectOrderStaysAliveUntilTheSessionEnds) {
  Checkin(1, 1, kToken, 1,
          {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kStopped)});
  Place(job_table_, "run-1", 0, 2, "vm-1");
  auto commands = registry_.Reconcile(*registry_.Find("vm-1"), job_table_, true);
  registry_.FinishDirect("vm-1", commands, kToken, false);
  Cancel();
  Checkin(1, 2, kToken, 4);
  Checkin(1, 3, kToken, 7);
  EXPECT_FALSE(Freed(7));
  EXPECT_TRUE(registry_.NeedsHigherToken(job_table_));
  Checkin(2, 4, kToken, 10);
  EXPECT_TRUE(Freed(10));
}

TEST_F(RosterTest, AHigherTokenMakesLostOrdersVoid) {
  Checkin(1, 1, kToken, 1);
  auto commands = registry_.Reconcile(*registry_.Find("vm-1"), job_table_, true);
  registry_.FinishDirect("vm-1", commands, kToken, false);
  Cancel();
  Checkin(1, 2, kToken, 2);
  registry_.SetToken(kNextToken);
  EXPECT_FALSE(Freed(3)) << "the worker has not seen the new token yet";
  Checkin(1, 3, kNextToken, 4);
  EXPECT_TRUE(Freed(4));
}

TEST_F(RosterTest, DoesNotForgetWhileALostStartMayStillArrive) {
  Checkin(1, 1, kToken, 1);
  auto commands = registry_.Reconcile(*registry_.Find("vm-1"), job_table_, true);
  registry_.FinishDirect("vm-1", commands, kToken, false);
  Place(job_table_, "run-1", 0, 1, "");  // its end has been recorded
  auto answer =
      Checkin(1, 2, kToken, 2,
              {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kStopped)});
  EXPECT_TRUE(answer.empty()) << "forgotten, a late start order would run the attempt anew";
}

TEST_F(RosterTest, ForgetsOnlyWhatIsRecorded) {
  auto done = TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kDone);
  auto commands = Checkin(1, 1, kToken, 1, {done});
  EXPECT_TRUE(commands.empty());
  auto outcomes = registry_.Collect(job_table_, 1);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].kind, Kind::kDone);
  store::TaskGroup task_group;
  task_group.done.Insert(0);
  PutTaskGroup(job_table_, "run-1", 0, task_group);
  commands = Checkin(1, 2, kToken, 2, {done});
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].kind, model::CommandKind::kForget);
}

TEST_F(RosterTest, ASilentMachineIsFreedOnlyAfterTheLeaseOfTheLastPossibleAnswer) {
  Checkin(1, 1, kToken, 50, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)});
  EXPECT_FALSE(Freed(80)) << "the lease runs from the answer, by the worker's clock";
  EXPECT_TRUE(Freed(82));
}

// The lease of a machine in a cut zone is over; while that is being written the zone comes back.
// Its worker, which has lost everything, must not be told to start the task again: the write may be
// on its way, and the task would run here and elsewhere.
TEST_F(RosterTest, WhatIsGivenUpIsNotStartedAgainWhileThatIsWritten) {
  Place(job_table_, "run-1", 0, 1, "vm-1");
  auto given_up = registry_.Collect(job_table_, 1000);
  ASSERT_EQ(given_up.size(), 1U);
  EXPECT_EQ(given_up[0].kind, jobs::TaskTransition::Kind::kRequeue);
  EXPECT_TRUE(Checkin(2, 1, kToken, 1000).empty());
  // Not written after all: then it is given up once more, now for want of a start.
  auto again = registry_.Collect(job_table_, 1001);
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].why, "never started");
  // Written: the next attempt on the same machine is another matter.
  Place(job_table_, "run-1", 0, 2, "vm-1");
  registry_.Collect(job_table_, 1002);
  EXPECT_EQ(registry_.Reconcile(*registry_.Find("vm-1"), job_table_, false).size(), 1U);
}

// Copies of a report that come again and again, for longer than a lease, renew nothing: the worker
// behind them may be long gone.
TEST_F(RosterTest, LateCopiesRenewNothingAndBringNothingBack) {
  const auto runs = TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning);
  Checkin(1, 5, kToken, 50, {runs});
  for (double t = 52; t < 81; t += 2) Checkin(1, 4, kToken, t, {runs});
  EXPECT_FALSE(Freed(80));
  EXPECT_TRUE(Freed(82));
  EXPECT_FALSE(registry_.Usable(*registry_.Find("vm-1"), 82)) << "no new work for a silent machine";
  // Its task went elsewhere, and the session has moved on: a copy from before undoes neither.
  Place(job_table_, "run-1", 0, 2, "vm-2");
  Checkin(2, 9, kToken, 83);
  auto commands = Checkin(1, 6, kToken, 140, {runs});
  EXPECT_TRUE(commands.empty());
  EXPECT_EQ(registry_.Find("vm-1")->agent_epoch, model::AgentEpoch(2));
  EXPECT_TRUE(registry_.Find("vm-1")->reported_tasks.empty());
}

// After a restart the leader knows no machine: a copy from an earlier session comes first. Under
// another token than ours it is no proof of anything, and the true report replaces it.
TEST_F(RosterTest, ALateCopyToARestartedLeaderProvesNothing) {
  Cancel();
  Checkin(1, 40, kFormerToken, 20);
  EXPECT_FALSE(Freed(21));
  Checkin(3, 90, kFormerToken, 22, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)});
  EXPECT_FALSE(Freed(23)) << "it runs in the newer session";
  Checkin(1, 41, kFormerToken, 24);
  EXPECT_EQ(registry_.Find("vm-1")->reported_tasks.size(), 1U);
}

// A copy of a report from an earlier session is the first that a new leader gets of the machine: an
// end that it tells of is not the last word, since the attempt was started again in the next
// session.
TEST_F(RosterTest, AnOldReportOfAnEndFreesNothingInANewTerm) {
  Checkin(1, 40, kFormerToken, 1,
          {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)});
  EXPECT_FALSE(Freed(1));
  Checkin(2, 55, kFormerToken, 2, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)});
  EXPECT_FALSE(Freed(2)) << "it runs";
  EXPECT_TRUE(
      Checkin(2, 56, kToken, 3, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)}).empty());
  Checkin(2, 57, kToken, 4,
          {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)});
  EXPECT_TRUE(Freed(4)) << "told to us";
}

// An attempt that has ended is over, though that may not be written for a while: in the machine's
// next session it is not started again, since its room may have gone to others.
TEST_F(RosterTest, AnAttemptThatEndedIsNotStartedAgainInTheNextSession) {
  Checkin(1, 1, kToken, 1, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)});
  Checkin(1, 2, kToken, 4,
          {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kStopped)});
  EXPECT_TRUE(Freed(4));
  EXPECT_TRUE(Checkin(2, 3, kToken, 50).empty());
}

// That it is done counts whoever was told: the result is kept.
TEST_F(RosterTest, AnOldReportOfACompletionCounts) {
  Checkin(1, 40, kFormerToken, 1,
          {TaskReportOf("run-1", 0, 1, model::TaskPhase::kExited, model::ExitCause::kDone)});
  const auto found = registry_.Collect(job_table_, 1);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].kind, Kind::kDone);
}

// A machine that reaches no controller, while direct commands reach it: its lease runs out, and in
// the next session a direct command starts what is recorded once more. That session has a lease of
// its own, so that nothing is free when the first one's is over.
TEST_F(RosterTest, WhatADirectCommandStartedInANewSessionLivesAsLongAsThatSession) {
  Checkin(1, 1, kToken, 0, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)});
  registry_.OnHeartbeat(ReportOf("vm-1", 2, 9, kToken), 30.5,
                        true);  // the answer to a direct command
  auto commands = registry_.Reconcile(*registry_.Find("vm-1"), job_table_, true);
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].kind, model::CommandKind::kRun);
  model::Heartbeat started = ReportOf("vm-1", 2, 10, kToken);
  started.tasks = {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)};
  registry_.OnHeartbeat(started, 31, true);
  registry_.FinishDirect("vm-1", commands, kToken, true);
  EXPECT_FALSE(Freed(45)) << "it runs in the second session until its lease is over";
  EXPECT_FALSE(Freed(60));
  EXPECT_TRUE(Freed(63));
}

TEST_F(RosterTest, AMachineThatOnlyAnswersCommandsGetsNothingNewAndCountsAsSilent) {
  Checkin(1, 1, kToken, 100);
  EXPECT_TRUE(registry_.Usable(*registry_.Find("vm-1"), 101));
  for (uint64_t i = 2; i < 8; ++i) {
    registry_.OnHeartbeat(ReportOf("vm-1", 1, i, kToken), 100 + 3.0 * static_cast<double>(i), true);
  }
  EXPECT_FALSE(registry_.Usable(*registry_.Find("vm-1"), 122));
  EXPECT_TRUE(registry_.Silent(*registry_.Find("vm-1"), 122));
}

// Seen from reports alone: the token that every answer brings never shows.
TEST_F(RosterTest, AMachineThatHearsNothingGetsNoWorkAndItsTasksStayCounted) {
  for (int i = 1; i <= 5; ++i) Checkin(1, static_cast<uint64_t>(i), {}, 3 * i);
  EXPECT_TRUE(registry_.AnswersLost(*registry_.Find("vm-1"), 15));
  EXPECT_FALSE(registry_.Usable(*registry_.Find("vm-1"), 15));
  EXPECT_FALSE(Freed(15)) << "nothing proves that the former leader's order was not executed";
  registry_.OnReturned("vm-1");
  EXPECT_TRUE(Freed(16));
}

TEST_F(RosterTest, AMachineThatNeverShowsItsOrdersIsDeaf) {
  Checkin(1, 1, kToken, 3);
  EXPECT_TRUE(registry_.Usable(*registry_.Find("vm-1"), 3));
  for (int i = 2; i <= 6; ++i) Checkin(1, static_cast<uint64_t>(i), kToken, 3 * i);
  EXPECT_TRUE(registry_.AnswersLost(*registry_.Find("vm-1"), 18));
  // One that shows them late is not.
  Checkin(1, 7, kToken, 21, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kFetching)});
  EXPECT_FALSE(registry_.AnswersLost(*registry_.Find("vm-1"), 21));
}

TEST_F(RosterTest, AMachineWhoseLeaseEndsThoughItWasAnsweredIsDeaf) {
  const auto runs = TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning);
  for (int i = 1; i <= 10; ++i) Checkin(1, static_cast<uint64_t>(i), kToken, 3 * i, {runs});
  EXPECT_FALSE(registry_.AnswersLost(*registry_.Find("vm-1"), 30));
  Checkin(2, 11, kToken, 33);
  Checkin(2, 12, kToken, 36);
  EXPECT_FALSE(registry_.Usable(*registry_.Find("vm-1"), 36));
}

TEST_F(RosterTest, AnUnknownMachineWaitsForWhatTheFormerLeaderMayHaveAnswered) {
  EXPECT_FALSE(Freed(39));
  EXPECT_TRUE(Freed(42));
}

TEST_F(RosterTest, AConfirmedReturnFreesAtOnce) {
  Checkin(1, 1, kToken, 1, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)});
  registry_.OnReturned("vm-1");
  EXPECT_TRUE(Freed(1));
}

TEST_F(RosterTest, AMachineThatIsBackAfterItsReturnIsReturnedAgain) {
  registry_.OnReturned("vm-1");
  Checkin(1, 1, kToken, 5);
  EXPECT_TRUE(registry_.Find("vm-1")->returning);
  EXPECT_FALSE(registry_.Usable(*registry_.Find("vm-1"), 5));
}

TEST_F(RosterTest, AMachineGoneFromTheListIsGoneOnceTheListsHaveSettled) {
  Checkin(1, 1, kToken, 1, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)});
  model::CloudMachine l{"vm-1", "127.0.0.1:1", "c4", "a", false, model::CloudMachineState::kRunning,
                        5};
  registry_.OnListed({l}, 1, 2);
  registry_.OnListed({}, 6, 6);
  EXPECT_FALSE(Freed(6)) << "a list may be older than the one before it";
  registry_.OnListed({}, 8, 13);
  EXPECT_FALSE(Freed(13)) << "its age counts from when it was asked for";
  registry_.OnListed({}, 13, 13);
  EXPECT_TRUE(Freed(13));
}

TEST_F(RosterTest, TasksThatNobodyRecordedAreStopped) {
  auto commands = Checkin(1, 1, kToken, 1,
                          {TaskReportOf("run-9", 3, 2, model::TaskPhase::kRunning),
                           TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)});
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].kind, model::CommandKind::kStop);
  EXPECT_EQ(commands[0].task.job, "run-9");
}

TEST_F(RosterTest, CancelledTasksAreStoppedWithoutGrace) {
  Cancel();
  auto commands =
      Checkin(1, 1, kToken, 1, {TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning)});
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].kind, model::CommandKind::kStop);
  EXPECT_EQ(commands[0].grace_s, 0);
}

TEST_F(RosterTest, AJobThatFailsEverywhereCondemnsNoMachine) {
  for (int i = 0; i < 5; ++i) {
    model::Heartbeat r = ReportOf("vm-" + std::to_string(i), 1, 1, kToken);
    r.tasks = {TaskReportOf("run-2", 0, 1, model::TaskPhase::kRunning)};
    registry_.OnHeartbeat(r, 1, false);
    r.sequence = 2;
    r.tasks = {TaskReportOf("run-2", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)};
    registry_.OnHeartbeat(r, 2, false);
  }
  for (const auto& [name, m] : registry_.all()) EXPECT_FALSE(m.returning) << name;
}

// Seen on a recorded day: a machine failed four tasks a second, each before a report showed it
// alive.
TEST_F(RosterTest, FailuresCountEvenIfTheTaskWasNeverSeenAlive) {
  Checkin(1, 1, kToken, 1,
          {TaskReportOf("run-2", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)});
  ASSERT_NE(registry_.failures().FailedOn("run-2"), nullptr);
  EXPECT_TRUE(registry_.failures().FailedOn("run-2")->contains("vm-1"));
  EXPECT_TRUE(registry_.Usable(*registry_.Find("vm-1"), 1));
  Checkin(1, 2, kToken, 2,
          {TaskReportOf("run-3", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)});
  EXPECT_FALSE(registry_.Usable(*registry_.Find("vm-1"), 2));
}

// A leader that hears nothing for a while, or leads again after another did, knows of no slow
// machine: tasks that it saw start may have ended long ago (docs/incidents/inc-01ae.md).
TEST_F(RosterTest, WhatWasNotWatchedMakesNoMachineSlow) {
  const std::vector<model::TaskStatus> tasks = JobWithKnownTimes();
  Checkin(1, 1, kToken, 0);
  Checkin(1, 2, kToken, 1, tasks);
  registry_.Learn(job_table_);  // 90 s later, say, with no report since
  EXPECT_FALSE(WorkerRegistry::Slow(*registry_.Find("vm-1")));
  registry_.BeginTerm(model::FencingToken(12), 90, 100);
  Checkin(1, 60, model::FencingToken(12), 91, tasks);
  registry_.Learn(job_table_);
  EXPECT_FALSE(WorkerRegistry::Slow(*registry_.Find("vm-1")))
      << "another leader watched them meanwhile";
}

TEST_F(RosterTest, AMachineThatTakesFarLongerThanOthersGetsNothingNew) {
  std::vector<model::TaskStatus> tasks = JobWithKnownTimes();
  Checkin(1, 1, kToken, 0);
  tasks.push_back(TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning));
  Checkin(1, 2, kToken, 1, tasks);
  Checkin(1, 3, kToken, 15, tasks);
  registry_.Learn(job_table_);
  EXPECT_TRUE(registry_.Usable(*registry_.Find("vm-1"), 15)) << "14 s for 10 s happens";
  Checkin(1, 4, kToken, 45, tasks);
  registry_.Learn(job_table_);
  EXPECT_FALSE(registry_.Usable(*registry_.Find("vm-1"), 45));
  EXPECT_GT(registry_.Find("vm-1")->slowness, 2);
}

// Both jobs may be broken: the machine gets nothing more at once, and is returned once both have
// succeeded elsewhere.
TEST_F(RosterTest, AMachineOnWhichSeveralJobsFailIsReturnedOnceTheySucceedElsewhere) {
  uint64_t sequence = 0;
  for (const char* job : {"run-2", "run-3"}) {
    PutJob(job_table_, Spec(job, 4));
    Checkin(1, ++sequence, kToken, 1, {TaskReportOf(job, 0, 1, model::TaskPhase::kRunning)});
    Checkin(1, ++sequence, kToken, 2,
            {TaskReportOf(job, 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)});
  }
  EXPECT_FALSE(registry_.Usable(*registry_.Find("vm-1"), 2));
  model::Heartbeat other = ReportOf("vm-2", 1, 1, kToken);
  for (const char* job : {"run-2", "run-3"}) {
    registry_.Learn(job_table_);
    EXPECT_FALSE(registry_.Find("vm-1")->returning)
        << "nothing shows yet that " << job << " is sound";
    ++other.sequence;
    other.tasks.push_back(
        TaskReportOf(job, 1, 1, model::TaskPhase::kExited, model::ExitCause::kDone));
    registry_.OnHeartbeat(other, 3, false);
  }
  registry_.Learn(job_table_);
  EXPECT_TRUE(registry_.Find("vm-1")->returning);
  EXPECT_FALSE(registry_.Find("vm-2")->returning);
}

}  // namespace
}  // namespace hallpier::fleet
