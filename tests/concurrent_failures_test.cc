// Tests combinations of concurrent failures with complete controllers against fakes.
// docs/concurrent-failures.md names the test of each combination.
#include "end_to_end.h"
#include "model/job.h"
#include "model/task.h"

namespace hallpier {
namespace {

using namespace testing_support;

class ConcurrentFailuresTest : public EndToEndTest {
 public:
  async::Task<bool> Submit(int node, model::JobSpec spec) {
    bool ok = co_await AskUntil(node, "POST", "/submissions", SubmissionBody(spec), 201, "", 10);
    EXPECT_TRUE(ok) << spec.id;
    co_return ok;
  }
  async::Task<bool> ExpectRunning(std::string id, int tasks, double limit_s = 10) {
    bool ok = co_await WaitFor(limit_s, [&] { return cloud_->Running(id) == tasks; });
    EXPECT_TRUE(ok) << id << ": " << cloud_->Running(id);
    co_return ok;
  }
  // Queries the job at each node without retries; each response must be 200 and contain `text`.
  async::Task<> ExpectAllNodesReport(std::string id, std::string text) {
    for (int node = 0; node < 3; ++node) {
      wire::HttpResponse r = co_await Ask(node, "GET", "/submissions/" + id);
      EXPECT_EQ(r.status, 200) << id << " at node " << node;
      EXPECT_NE(r.body.find(text), std::string::npos) << id << " at node " << node << r.body;
    }
  }
  // Withdraws the job and returns the final phase in the response, "cancelled" or "done".
  async::Task<std::string> Withdraw(int node, std::string id) {
    wire::HttpResponse r = co_await Ask(node, "POST", "/submissions/" + id + "/withdraw");
    EXPECT_EQ(r.status, 200);
    co_return r.body.find("cancelled") != std::string::npos ? "cancelled" : "done";
  }
};

// Guards against a delayed transaction that exceeds a quota: the placement of a job gets no
// response and is applied only after newer placements of the same leader. By then another job uses
// the team's quota.
class DelayedPlacementTest : public ConcurrentFailuresTest {
 public:
  DelayedPlacementTest() {
    run_s_ = 60;
    cpus_max_ = 4;
  }
  async::Task<> Script() {
    // Machines are rented, and no other write is due when run-2 is placed.
    co_await Submit(0, Spec("run-1", 4));
    co_await ExpectRunning("run-1", 4);
    co_await Withdraw(0, "run-1");
    bool removed =
        co_await WaitFor(5, [&] { return state_->Value(store::JobKey("run-1")).empty(); });
    EXPECT_TRUE(removed);
    co_await Pause(2 * kHeartbeatIntervalS);
    state_->LoseAnswers("hallpier/a/t/run-2", FakeStateService::Execution::kDeferred);
    co_await Submit(0, Spec("run-2", 4));
    auto urgent = Spec("run-3", 4);
    urgent.priority = model::Priority::kUrgent;
    bool lost = co_await WaitFor(10, [&] { return state_->lost_answers() == 1; });
    EXPECT_TRUE(lost);
    co_await Submit(0, urgent);
    // The quota does not allow run-2 and run-3 to run at the same time, whichever placement takes
    // effect first.
    double max_running = 0;
    const double end = loop_.Now() + 2.5;
    while (loop_.Now() < end) {
      co_await Pause(0.02);
      max_running =
          std::max<double>(max_running, cloud_->Running("run-2") + cloud_->Running("run-3"));
    }
    EXPECT_EQ(state_->ExecuteDeferred(), 0)
        << "its outcome was settled by a repetition or by a conflicting write";
    co_await Pause(1);
    max_running =
        std::max<double>(max_running, cloud_->Running("run-2") + cloud_->Running("run-3"));
    EXPECT_EQ(max_running, 4);
  }
};

TEST_F(DelayedPlacementTest, PlacementIsSettledBeforeAnyOther) {
  Start(1);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

// Guards against a delayed transaction of a former leader that takes effect under its successor:
// new machines are running at once and get tasks while writes are delayed, and then the leader
// shuts down.
class DelayedWriteAcrossFailoverTest : public ConcurrentFailuresTest {
 public:
  DelayedWriteAcrossFailoverTest() { run_s_ = 2; }
  async::Task<> Script() {
    co_await StartOthersOnceNode0Leads();
    state_->LoseAnswers("hallpier/a/t/run-1", FakeStateService::Execution::kDeferred, 2);
    co_await Submit(1, Spec("run-1", 20));
    bool ok = co_await WaitFor(10, [&] { return state_->lost_answers() >= 1; });
    EXPECT_TRUE(ok);
    ShutDownNode(0);
    ok = co_await AskUntil(1, "GET", "/submissions/run-1", "", 200, R"("phase":"running")", 15);
    EXPECT_TRUE(ok);
    EXPECT_EQ(state_->ExecuteDeferred(), 0) << "the new leader's fencing token makes them fail";
    ok = co_await AskUntil(2, "GET", "/submissions/run-1", "", 200, R"("done","done":20)", 30);
    EXPECT_TRUE(ok);
  }
};

TEST_F(DelayedWriteAcrossFailoverTest, FormerLeadersWritesHaveNoEffect) {
  StartServices(3);
  StartNodes(0, 1, 3);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
  EXPECT_EQ(cloud_->starts(), 20);
}

// Guards against stale answers: right after a job was accepted, ended or acknowledged as cancelled,
// users query all nodes within milliseconds and repeat the submission. The nodes' watch caches lag
// behind during the whole test.
class LinearizableQueriesTest : public ConcurrentFailuresTest {
 public:
  async::Task<> Script() {
    co_await Submit(0, Spec("run-1", 1));
    state_->SetWatchLag(0.4);
    co_await Pause(0.5);
    for (int i = 10; i < 16; ++i) {
      const std::string id = "run-" + std::to_string(i);
      const std::string body = SubmissionBody(Spec(id, 2, 4));
      co_await Submit(i % 3, Spec(id, 2, 4));
      co_await ExpectAllNodesReport(id, "\"phase\"");
      wire::HttpResponse r = co_await Ask((i + 1) % 3, "POST", "/submissions", body);
      EXPECT_EQ(r.status, 200) << "a repeated submission";
      if (i % 2 == 0) {
        const std::string outcome = co_await Withdraw((i + 2) % 3, id);
        co_await ExpectAllNodesReport(id, outcome);
        r = co_await Ask(i % 3, "POST", "/submissions", body);
        EXPECT_EQ(r.status, 200);
        EXPECT_NE(r.body.find(outcome), std::string::npos) << r.body;
      } else {
        bool ok = co_await AskUntil(i % 3, "GET", "/submissions/" + id, "", 200, "\"done\",", 20);
        EXPECT_TRUE(ok);
        co_await ExpectAllNodesReport(id, R"("phase":"done")");
        const std::string outcome = co_await Withdraw((i + 1) % 3, id);
        EXPECT_EQ(outcome, "done");
      }
    }
  }
};

TEST_F(LinearizableQueriesTest, NoNodeReturnsAnOlderState) {
  Start(3);
  Run(Script());
}

// Guards against stale answers after a transaction whose response was lost: it was applied at once,
// and other nodes have read its writes.
class LostResponseTest : public ConcurrentFailuresTest {
 public:
  LostResponseTest() { run_s_ = 30; }
  async::Task<> Script() {
    co_await Submit(0, Spec("run-1", 1));
    state_->LoseAnswers("hallpier/a/j/run-2", FakeStateService::Execution::kImmediate);
    wire::HttpResponse r =
        co_await Ask(1, "POST", "/submissions", SubmissionBody(Spec("run-2", 3)));
    EXPECT_EQ(r.status, 503) << "the outcome is unknown to the node, which answers at once";
    EXPECT_GT(r.retry_after_s, 0);
    co_await ExpectAllNodesReport("run-2", "\"phase\"");
    r = co_await Ask(1, "POST", "/submissions", SubmissionBody(Spec("run-2", 3)));
    EXPECT_EQ(r.status, 200);
    co_await ExpectRunning("run-2", 3);
    state_->LoseAnswers("hallpier/a/j/run-2", FakeStateService::Execution::kImmediate);
    r = co_await Ask(1, "POST", "/submissions/run-2/withdraw");
    EXPECT_EQ(r.status, 503);
    co_await ExpectAllNodesReport("run-2", "cancelled");
    const std::string outcome = co_await Withdraw(1, "run-2");
    EXPECT_EQ(outcome, "cancelled");
    co_await ExpectRunning("run-2", 0);
    // If the response to an applied placement is lost, the leader still starts the tasks, once.
    state_->LoseAnswers("hallpier/a/t/run-3", FakeStateService::Execution::kImmediate, 2);
    co_await Submit(2, Spec("run-3", 5));
    co_await ExpectRunning("run-3", 5);
  }
};

TEST_F(LostResponseTest, NoNodeReturnsAnOlderState) {
  Start(3);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
  EXPECT_EQ(cloud_->starts(), 9);
}

// Guards against contradictory answers if a job is cancelled while its last task ends: the outcome
// recorded first is returned from then on by every node, also to a repeated submission.
class CancelDuringCompletionTest : public ConcurrentFailuresTest {
 public:
  CancelDuringCompletionTest() { run_s_ = 0.25; }
  async::Task<> Script() {
    co_await Submit(0, Spec("run-1", 1));
    for (int i = 20; i < 32; ++i) {
      const std::string id = "run-" + std::to_string(i);
      co_await Submit(i % 3, Spec(id, 1));
      bool started = co_await WaitFor(5, [&] { return cloud_->Running(id) == 1; });
      EXPECT_TRUE(started);
      co_await Pause(run_s_ + (i - 26) * 0.02);
      const std::string outcome = co_await Withdraw((i + 1) % 3, id);
      ++count_by_outcome_[outcome];
      for (int round = 0; round < 2; ++round) {
        co_await ExpectAllNodesReport(id, R"("phase":")" + outcome + "\"");
        co_await Pause(kHeartbeatIntervalS);
      }
      wire::HttpResponse r =
          co_await Ask(i % 3, "POST", "/submissions", SubmissionBody(Spec(id, 1)));
      EXPECT_EQ(r.status, 200);
      EXPECT_NE(r.body.find(outcome), std::string::npos) << r.body;
    }
    EXPECT_GT(count_by_outcome_["cancelled"], 0);
    EXPECT_GT(count_by_outcome_["done"], 0);
    // The cancellation is requested while the task runs and applied after its end was recorded.
    co_await Submit(0, Spec("run-40", 1));
    bool started = co_await WaitFor(5, [&] { return cloud_->Running("run-40") == 1; });
    EXPECT_TRUE(started);
    state_->DelayTransactions("hallpier/a/j/run-40", 0.8);
    const std::string outcome = co_await Withdraw(1, "run-40");
    EXPECT_EQ(outcome, "done");
    co_await ExpectAllNodesReport("run-40", R"("phase":"done")");
  }

 private:
  std::map<std::string, int> count_by_outcome_;
};

TEST_F(CancelDuringCompletionTest, FirstRecordedOutcomeIsFinal) {
  Start(3);
  Run(Script());
}

// Guards against cancelled tasks that survive or start again if jobs are cancelled during the
// failover to another controller.
class CancelDuringFailoverTest : public ConcurrentFailuresTest {
 public:
  CancelDuringFailoverTest() {
    cancel_s_ = 5;
    run_s_ = 60;
  }
  async::Task<> Script() {
    co_await StartOthersOnceNode0Leads();
    for (int i = 1; i <= 4; ++i) co_await Submit(1, Spec("run-" + std::to_string(i), 4));
    for (int i = 1; i <= 4; ++i) co_await ExpectRunning("run-" + std::to_string(i), 4);
    cloud_->SetStartHook([this](const model::TaskId& t) {
      if (acknowledged_at_.contains(t.job) && loop_.Now() > acknowledged_at_[t.job] + 1)
        ++late_starts_;
    });
    ShutDownNode(0);
    for (int i = 1; i <= 3; ++i) {
      const std::string id = "run-" + std::to_string(i);
      const std::string outcome = co_await Withdraw(1 + i % 2, id);
      EXPECT_EQ(outcome, "cancelled");
      acknowledged_at_[id] = loop_.Now();
      co_await Pause(0.1);
    }
    for (int i = 1; i <= 3; ++i) {
      const std::string id = "run-" + std::to_string(i);
      bool ok = co_await WaitFor(acknowledged_at_[id] + *cancel_s_ - loop_.Now(),
                                 [&] { return cloud_->Running(id) == 0; });
      EXPECT_TRUE(ok) << id;
    }
    co_await Pause(2);
    for (int i = 1; i <= 3; ++i) EXPECT_EQ(cloud_->Running("run-" + std::to_string(i)), 0);
    EXPECT_EQ(cloud_->Running("run-4"), 4) << "a job that was not cancelled continues";
    EXPECT_EQ(late_starts_, 0);
  }

 private:
  std::map<std::string, double> acknowledged_at_;
  int late_starts_ = 0;
};

TEST_F(CancelDuringFailoverTest, TasksEndInTimeAndDoNotStartAgain) {
  StartServices(3);
  StartNodes(0, 1, 3);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

// Guards against lost jobs if all controllers are down for longer than a worker's lease: all tasks
// have stopped, and each accepted job that was not cancelled must run after the restart.
class AllControllersDownTest : public ConcurrentFailuresTest {
 public:
  AllControllersDownTest() { run_s_ = 2; }
  async::Task<> Script() {
    co_await Submit(0, Spec("run-1", 12));
    co_await Submit(1, Spec("run-2", 3));
    co_await ExpectRunning("run-1", 12);
    const std::string outcome = co_await Withdraw(2, "run-2");
    EXPECT_EQ(outcome, "cancelled");
    for (int node = 0; node < 3; ++node) co_await ShutDownAndWait(node);
    co_await Pause(3.5);
    StartNodes(2, 3, 3);
    bool ok = co_await AskUntil(2, "GET", "/submissions/run-1", "", 200, R"("done","done":12)", 20);
    EXPECT_TRUE(ok);
    ok = co_await AskUntil(2, "GET", "/submissions/run-2", "", 200, "cancelled", 5);
    EXPECT_TRUE(ok);
  }
};

TEST_F(AllControllersDownTest, NoAcceptedJobIsLost) {
  Start(3);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

// Guards against tasks that start twice if the leader changes repeatedly, also during an outage.
class RepeatedFailoverTest : public ConcurrentFailuresTest {
 public:
  async::Task<> Script() {
    co_await Submit(1, Spec("run-1", 60));
    for (int i = 0; i < 10; ++i) {
      if (i == 4) state_->SetOutage(true);
      if (i == 6) state_->SetOutage(false);
      co_await Restart(i % 3, 3);
      co_await Pause(0.25);
    }
    bool ok = co_await AskUntil(2, "GET", "/submissions/run-1", "", 200, R"("done","done":60)", 30);
    EXPECT_TRUE(ok);
  }
};

TEST_F(RepeatedFailoverTest, NoTaskStartsTwice) {
  Start(3);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

// Guards against jobs that are not finished in time at a low write rate: four one-task jobs a
// second are submitted, a quarter of them cancelled, with the lowest write limit of any state
// service.
class ManySmallJobsTest : public ConcurrentFailuresTest {
 public:
  static constexpr int kJobs = 32;
  ManySmallJobsTest() {
    state_write_rps_ = 25;
    state_rps_ = 150;
    run_s_ = 1;
  }
  async::Task<> RunJob(int i) {
    const std::string id = "run-" + std::to_string(100 + i);
    co_await Submit(i % 3, Spec(id, 1));
    const bool cancelled = i % 4 == 0;
    if (cancelled) {
      bool acknowledged = co_await AskUntil((i + 1) % 3, "POST", "/submissions/" + id + "/withdraw",
                                            "", 200, "phase", 10);
      EXPECT_TRUE(acknowledged);
    }
    bool ok = co_await AskUntil((i + 2) % 3, "GET", "/submissions/" + id, "", 200,
                                cancelled ? "cancelled" : "\"done\",", 25);
    EXPECT_TRUE(ok) << id;
    if (ok) ++ended_jobs_;
  }
  async::Task<> Script() {
    for (int i = 0; i < kJobs; ++i) {
      scope_.Spawn(RunJob(i));
      co_await Pause(0.25);
    }
    bool ok = co_await WaitFor(25, [&] { return ended_jobs_ == kJobs; });
    EXPECT_TRUE(ok) << ended_jobs_;
  }

 private:
  int ended_jobs_ = 0;
};

TEST_F(ManySmallJobsTest, AllJobsReachTheirFinalPhaseInTime) {
  Start(3);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

// Guards against wrong answers to invalid requests during failures: a job that cannot run or lacks
// a field is rejected, and a finished job stays done.
class InvalidRequestsTest : public ConcurrentFailuresTest {
 public:
  async::Task<> Script() {
    co_await Submit(0, Spec("run-1", 2));
    bool ok = co_await AskUntil(0, "GET", "/submissions/run-1", "", 200, "\"done\",", 20);
    EXPECT_TRUE(ok);
    // Phase 1 restarts node 0, which may be the leader; phase 2 is an outage of the state service.
    for (int phase = 0; phase < 3; ++phase) {
      if (phase == 1) co_await Restart(0, 3);
      if (phase == 2) state_->SetOutage(true);
      const int node = 1 + phase % 2;
      wire::HttpResponse r = co_await Ask(node, "POST", "/submissions", R"({"id":"run-50"})");
      EXPECT_EQ(r.status, phase == 2 ? 503 : 400)
          << "in an outage the job may have been accepted before";
      r = co_await Ask(node, "POST", "/submissions", "[]");
      EXPECT_EQ(r.status, 400);
      auto huge = Spec("run-51", 1, 99);
      r = co_await Ask(node, "POST", "/submissions", SubmissionBody(huge));
      EXPECT_EQ(r.status, phase == 2 ? 503 : 422);
      r = co_await Ask(node, "POST", "/submissions", SubmissionBody(Spec("run-1", 2)));
      EXPECT_EQ(r.status, 200) << phase;
      EXPECT_NE(r.body.find("done"), std::string::npos);
      r = co_await Ask(node, "POST", "/submissions/run-1/withdraw");
      EXPECT_EQ(r.status, 200);
      EXPECT_NE(r.body.find("\"done\""), std::string::npos);
      r = co_await Ask(node, "GET", "/submissions/run-51");
      EXPECT_EQ(r.status, phase == 2 ? 503 : 404);
    }
    state_->SetOutage(false);
  }
};

TEST_F(InvalidRequestsTest, RequestsGetTheSameAnswersDuringFailures) {
  Start(3);
  Run(Script());
}

}  // namespace
}  // namespace hallpier
