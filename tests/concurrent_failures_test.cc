// Troubles that meet, on whole nodes against fakes. docs/concurrent-failures.md names the test
// of each.
#include "end_to_end.h"
#include "model/job.h"
#include "model/task.h"

namespace hallpier {
namespace {

using namespace testing_support;

class MeetingTest : public EndToEndTest {
 public:
  async::Task<bool> Accepted(int node, model::JobSpec spec) {
    bool ok = co_await AskUntil(node, "POST", "/submissions", SubmissionBody(spec), 201, "", 10);
    EXPECT_TRUE(ok) << spec.id;
    co_return ok;
  }
  async::Task<bool> Runs(std::string id, int tasks, double limit_s = 10) {
    bool ok = co_await WaitFor(limit_s, [&] { return cloud_->Running(id) == tasks; });
    EXPECT_TRUE(ok) << id << ": " << cloud_->Running(id);
    co_return ok;
  }
  // Every node, asked at once.
  async::Task<> AllSay(std::string id, std::string what) {
    for (int node = 0; node < 3; ++node) {
      wire::HttpResponse r = co_await Ask(node, "GET", "/submissions/" + id);
      EXPECT_EQ(r.status, 200) << id << " at node " << node;
      EXPECT_NE(r.body.find(what), std::string::npos) << id << " at node " << node << r.body;
    }
  }
  async::Task<std::string> Withdraw(int node, std::string id) {
    wire::HttpResponse r = co_await Ask(node, "POST", "/submissions/" + id + "/withdraw");
    EXPECT_EQ(r.status, 200);
    co_return r.body.find("cancelled") != std::string::npos ? "cancelled" : "done";
  }
};

// A placement gets no answer and is carried out only after newer ones of the same leader: by then
// the team's room has gone to another job.
class LatePlacementTest : public MeetingTest {
 public:
  LatePlacementTest() {
    run_s_ = 60;
    cpus_max_ = 4;
  }
  async::Task<> Script() {
    // Machines are there, and nothing else is to be written when run-2 is placed.
    co_await Accepted(0, Spec("run-1", 4));
    co_await Runs("run-1", 4);
    co_await Withdraw(0, "run-1");
    bool over = co_await WaitFor(5, [&] { return state_->Value(store::JobKey("run-1")).empty(); });
    EXPECT_TRUE(over);
    co_await Pause(2 * kHeartbeatIntervalS);
    state_->LoseAnswers("hallpier/a/t/run-2", FakeStateService::Execution::kDeferred);
    co_await Accepted(0, Spec("run-2", 4));
    auto urgent = Spec("run-3", 4);
    urgent.priority = model::Priority::kUrgent;
    bool lost = co_await WaitFor(10, [&] { return state_->lost_answers() == 1; });
    EXPECT_TRUE(lost);
    co_await Accepted(0, urgent);
    // Both can't run at a time, whichever was settled first.
    double most = 0;
    const double end = loop_.Now() + 2.5;
    while (loop_.Now() < end) {
      co_await Pause(0.02);
      most = std::max<double>(most, cloud_->Running("run-2") + cloud_->Running("run-3"));
    }
    EXPECT_EQ(state_->ExecuteDeferred(), 0) << "it was settled: sent again, or overtaken for good";
    co_await Pause(1);
    most = std::max<double>(most, cloud_->Running("run-2") + cloud_->Running("run-3"));
    EXPECT_EQ(most, 4);
  }
};

TEST_F(LatePlacementTest, IsSettledBeforeAnythingElseIsPlaced) {
  Start(1);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

// New machines are up at once and get work while writes lag, and the leader ends.
class LateAndNextLeaderTest : public MeetingTest {
 public:
  LateAndNextLeaderTest() { run_s_ = 2; }
  async::Task<> Script() {
    co_await StartOthersOnceNode0Leads();
    state_->LoseAnswers("hallpier/a/t/run-1", FakeStateService::Execution::kDeferred, 2);
    co_await Accepted(1, Spec("run-1", 20));
    bool ok = co_await WaitFor(10, [&] { return state_->lost_answers() >= 1; });
    EXPECT_TRUE(ok);
    ShutDownNode(0);
    ok = co_await AskUntil(1, "GET", "/submissions/run-1", "", 200, R"("phase":"running")", 15);
    EXPECT_TRUE(ok);
    EXPECT_EQ(state_->ExecuteDeferred(), 0) << "the new leader's token makes them void";
    ok = co_await AskUntil(2, "GET", "/submissions/run-1", "", 200, R"("done","done":20)", 30);
    EXPECT_TRUE(ok);
  }
};

TEST_F(LateAndNextLeaderTest, LosesWhateverTheFormerOneWrote) {
  StartServices(3);
  StartNodes(0, 1, 3);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
  EXPECT_EQ(cloud_->starts(), 20);
}

// Users ask at all nodes within milliseconds, and repeat the submission, right after a job was
// accepted, ended or confirmed as cancelled. The nodes' copies lag behind all the while.
class CloseLooksTest : public MeetingTest {
 public:
  async::Task<> Script() {
    co_await Accepted(0, Spec("run-1", 1));
    state_->SetWatchLag(0.4);
    co_await Pause(0.5);
    for (int i = 10; i < 16; ++i) {
      const std::string id = "run-" + std::to_string(i);
      const std::string body = SubmissionBody(Spec(id, 2, 4));
      co_await Accepted(i % 3, Spec(id, 2, 4));
      co_await AllSay(id, "\"phase\"");
      wire::HttpResponse r = co_await Ask((i + 1) % 3, "POST", "/submissions", body);
      EXPECT_EQ(r.status, 200) << "a repeated submission";
      if (i % 2 == 0) {
        const std::string told = co_await Withdraw((i + 2) % 3, id);
        co_await AllSay(id, told);
        r = co_await Ask(i % 3, "POST", "/submissions", body);
        EXPECT_EQ(r.status, 200);
        EXPECT_NE(r.body.find(told), std::string::npos) << r.body;
      } else {
        bool ok = co_await AskUntil(i % 3, "GET", "/submissions/" + id, "", 200, "\"done\",", 20);
        EXPECT_TRUE(ok);
        co_await AllSay(id, R"("phase":"done")");
        const std::string told = co_await Withdraw((i + 1) % 3, id);
        EXPECT_EQ(told, "done");
      }
    }
  }
};

TEST_F(CloseLooksTest, NoNodeAnswersAnythingOlder) {
  Start(3);
  Run(Script());
}

// A transaction is carried out at once and only its answer is lost, while others read what it
// wrote.
class LostAnswerTest : public MeetingTest {
 public:
  LostAnswerTest() { run_s_ = 30; }
  async::Task<> Script() {
    co_await Accepted(0, Spec("run-1", 1));
    state_->LoseAnswers("hallpier/a/j/run-2", FakeStateService::Execution::kImmediate);
    wire::HttpResponse r =
        co_await Ask(1, "POST", "/submissions", SubmissionBody(Spec("run-2", 3)));
    EXPECT_EQ(r.status, 503) << "it can't know, and says so at once";
    EXPECT_GT(r.retry_after_s, 0);
    co_await AllSay("run-2", "\"phase\"");
    r = co_await Ask(1, "POST", "/submissions", SubmissionBody(Spec("run-2", 3)));
    EXPECT_EQ(r.status, 200);
    co_await Runs("run-2", 3);
    state_->LoseAnswers("hallpier/a/j/run-2", FakeStateService::Execution::kImmediate);
    r = co_await Ask(1, "POST", "/submissions/run-2/withdraw");
    EXPECT_EQ(r.status, 503);
    co_await AllSay("run-2", "cancelled");
    const std::string told = co_await Withdraw(1, "run-2");
    EXPECT_EQ(told, "cancelled");
    co_await Runs("run-2", 0);
    // A leader whose placement was carried out without an answer starts it all the same, once.
    state_->LoseAnswers("hallpier/a/t/run-3", FakeStateService::Execution::kImmediate, 2);
    co_await Accepted(2, Spec("run-3", 5));
    co_await Runs("run-3", 5);
  }
};

TEST_F(LostAnswerTest, IsNoReasonToSayAnythingOlder) {
  Start(3);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
  EXPECT_EQ(cloud_->starts(), 9);
}

// A cancellation meets the end of a job's last task: whichever was recorded first is told from then
// on, by every node and to whoever repeats the submission.
class CancelAtTheEndTest : public MeetingTest {
 public:
  CancelAtTheEndTest() { run_s_ = 0.25; }
  async::Task<> Script() {
    co_await Accepted(0, Spec("run-1", 1));
    for (int i = 20; i < 32; ++i) {
      const std::string id = "run-" + std::to_string(i);
      co_await Accepted(i % 3, Spec(id, 1));
      bool begun = co_await WaitFor(5, [&] { return cloud_->Running(id) == 1; });
      EXPECT_TRUE(begun);
      co_await Pause(run_s_ + (i - 26) * 0.02);
      const std::string told = co_await Withdraw((i + 1) % 3, id);
      ++told_[told];
      for (int round = 0; round < 2; ++round) {
        co_await AllSay(id, R"("phase":")" + told + "\"");
        co_await Pause(kHeartbeatIntervalS);
      }
      wire::HttpResponse r =
          co_await Ask(i % 3, "POST", "/submissions", SubmissionBody(Spec(id, 1)));
      EXPECT_EQ(r.status, 200);
      EXPECT_NE(r.body.find(told), std::string::npos) << r.body;
    }
    EXPECT_GT(told_["cancelled"], 0);
    EXPECT_GT(told_["done"], 0);
    // Asked for while it runs, and carried out only after its end was recorded.
    co_await Accepted(0, Spec("run-40", 1));
    bool begun = co_await WaitFor(5, [&] { return cloud_->Running("run-40") == 1; });
    EXPECT_TRUE(begun);
    state_->DelayTransactions("hallpier/a/j/run-40", 0.8);
    const std::string told = co_await Withdraw(1, "run-40");
    EXPECT_EQ(told, "done");
    co_await AllSay("run-40", R"("phase":"done")");
  }

 private:
  std::map<std::string, int> told_;
};

TEST_F(CancelAtTheEndTest, WhatWasToldFirstStands) {
  Start(3);
  Run(Script());
}

// Jobs are cancelled in the seconds in which one controller's work changes hands.
class CancelInHandoverTest : public MeetingTest {
 public:
  CancelInHandoverTest() {
    cancel_s_ = 5;
    run_s_ = 60;
  }
  async::Task<> Script() {
    co_await StartOthersOnceNode0Leads();
    for (int i = 1; i <= 4; ++i) co_await Accepted(1, Spec("run-" + std::to_string(i), 4));
    for (int i = 1; i <= 4; ++i) co_await Runs("run-" + std::to_string(i), 4);
    cloud_->WatchStarts([this](const model::TaskId& t) {
      if (told_.contains(t.job) && loop_.Now() > told_[t.job] + 1) ++late_starts_;
    });
    ShutDownNode(0);
    for (int i = 1; i <= 3; ++i) {
      const std::string id = "run-" + std::to_string(i);
      const std::string told = co_await Withdraw(1 + i % 2, id);
      EXPECT_EQ(told, "cancelled");
      told_[id] = loop_.Now();
      co_await Pause(0.1);
    }
    for (int i = 1; i <= 3; ++i) {
      const std::string id = "run-" + std::to_string(i);
      bool ok = co_await WaitFor(told_[id] + *cancel_s_ - loop_.Now(),
                                 [&] { return cloud_->Running(id) == 0; });
      EXPECT_TRUE(ok) << id;
    }
    co_await Pause(2);
    for (int i = 1; i <= 3; ++i) EXPECT_EQ(cloud_->Running("run-" + std::to_string(i)), 0);
    EXPECT_EQ(cloud_->Running("run-4"), 4) << "what nobody cancelled goes on";
    EXPECT_EQ(late_starts_, 0);
  }

 private:
  std::map<std::string, double> told_;
  int late_starts_ = 0;
};

TEST_F(CancelInHandoverTest, AreGoneInTimeAndNeverStartAgain) {
  StartServices(3);
  StartNodes(0, 1, 3);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

// All controllers are away for longer than a lease: every task is gone, and all that was accepted
// and not cancelled runs once they are back.
class AllAwayTest : public MeetingTest {
 public:
  AllAwayTest() { run_s_ = 2; }
  async::Task<> Script() {
    co_await Accepted(0, Spec("run-1", 12));
    co_await Accepted(1, Spec("run-2", 3));
    co_await Runs("run-1", 12);
    const std::string told = co_await Withdraw(2, "run-2");
    EXPECT_EQ(told, "cancelled");
    for (int node = 0; node < 3; ++node) co_await ShutDownAndWait(node);
    co_await Pause(3.5);
    StartNodes(2, 3, 3);
    bool ok = co_await AskUntil(2, "GET", "/submissions/run-1", "", 200, R"("done","done":12)", 20);
    EXPECT_TRUE(ok);
    ok = co_await AskUntil(2, "GET", "/submissions/run-2", "", 200, "cancelled", 5);
    EXPECT_TRUE(ok);
  }
};

TEST_F(AllAwayTest, LosesNothingThatWasAccepted) {
  Start(3);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

// Leaders change again and again, also inside an outage.
class ManyLeadersTest : public MeetingTest {
 public:
  async::Task<> Script() {
    co_await Accepted(1, Spec("run-1", 60));
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

TEST_F(ManyLeadersTest, StartNothingTwice) {
  Start(3);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

// One-task jobs come four a second, a quarter of them cancelled, with as many writes as the
// smallest of the services takes.
class SwarmTest : public MeetingTest {
 public:
  static constexpr int kJobs = 32;
  SwarmTest() {
    state_write_rps_ = 25;
    state_rps_ = 150;
    run_s_ = 1;
  }
  async::Task<> One(int i) {
    const std::string id = "run-" + std::to_string(100 + i);
    co_await Accepted(i % 3, Spec(id, 1));
    const bool cancelled = i % 4 == 0;
    if (cancelled) {
      bool told = co_await AskUntil((i + 1) % 3, "POST", "/submissions/" + id + "/withdraw", "",
                                    200, "phase", 10);
      EXPECT_TRUE(told);
    }
    bool ok = co_await AskUntil((i + 2) % 3, "GET", "/submissions/" + id, "", 200,
                                cancelled ? "cancelled" : "\"done\",", 25);
    EXPECT_TRUE(ok) << id;
    if (ok) ++ended_jobs_;
  }
  async::Task<> Script() {
    for (int i = 0; i < kJobs; ++i) {
      scope_.Spawn(One(i));
      co_await Pause(0.25);
    }
    bool ok = co_await WaitFor(25, [&] { return ended_jobs_ == kJobs; });
    EXPECT_TRUE(ok) << ended_jobs_;
  }

 private:
  int ended_jobs_ = 0;
};

TEST_F(SwarmTest, OfOneTaskJobsIsServedAndTold) {
  Start(3);
  Run(Script());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

// What can't run, or lacks a field, is refused whatever else goes on; what is done stays done.
class OddRequestsTest : public MeetingTest {
 public:
  async::Task<> Script() {
    co_await Accepted(0, Spec("run-1", 2));
    bool ok = co_await AskUntil(0, "GET", "/submissions/run-1", "", 200, "\"done\",", 20);
    EXPECT_TRUE(ok);
    // The leader ends meanwhile, and the service is out for a while.
    for (int phase = 0; phase < 3; ++phase) {
      if (phase == 1) co_await Restart(0, 3);
      if (phase == 2) state_->SetOutage(true);
      const int node = 1 + phase % 2;
      wire::HttpResponse r = co_await Ask(node, "POST", "/submissions", R"({"id":"run-50"})");
      EXPECT_EQ(r.status, phase == 2 ? 503 : 400) << "it may have been accepted once";
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

TEST_F(OddRequestsTest, AreAnsweredAsEver) {
  Start(3);
  Run(Script());
}

}  // namespace
}  // namespace hallpier
