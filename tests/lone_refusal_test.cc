// The gap on whole nodes: the state service refuses the leader alone, another node confirms a
// cancellation, and then the service is out for everybody, for longer than cancel_s.
#include <chrono>
#include <thread>

#include "end_to_end.h"

namespace hallpier {
namespace {

using namespace testing_support;

constexpr double kCancelS = 5;   // the workers' lease is 3 s
constexpr double kPauseS = 2.3;  // LeaderElection::MaxRenewalGapS is 2.03 s

class GapTest : public EndToEndTest {
 public:
  GapTest() {
    refused_node_ = 0;
    cancel_s_ = kCancelS;
    run_s_ = 60;
  }

  // Node 0 leads with two jobs at work; all nodes understand vouches.
  async::Task<> Prepare() {
    co_await StartOthersOnceNode0Leads();
    bool ok = false;
    for (const char* id : {"run-1", "run-2"}) {
      ok = co_await AskUntil(1, "POST", "/submissions", SubmissionBody(Spec(id, 6)), 201, "", 10);
      EXPECT_TRUE(ok);
    }
    ok = co_await WaitFor(20, [&] {
      bool all = cloud_->Running("run-1") == 6 && cloud_->Running("run-2") == 6;
      for (int i = 0; i < 3; ++i) {
        const std::string mark = state_->Value(store::NodeFormatKey("node-" + std::to_string(i)));
        all = all && store::ReadNodeFormat(mark).value_or(0) >= store::kCancellationReportFormat;
      }
      return all;
    });
    EXPECT_TRUE(ok);
    co_await Pause(3 * kHeartbeatIntervalS);
  }

  // Recorded by a process that tells its user and ends before anybody hears of it.
  async::Task<> CancelledByAnother() {
    store::JobRecord record;
    record.spec = Spec("run-1", 6);
    record.submitted_at = 1;
    record.cancelled = true;
    const std::string value = store::WriteJob(record);
    co_await WriteRecord(store::JobKey("run-1"), value);
    told_ = loop_.Now();
  }

  // Node 1 knows of it, and only its cancellation report can tell the leader.
  async::Task<> HandedOver() {
    co_await Prepare();
    state_->CutSecondary(true);
    co_await CancelledByAnother();
    bool ok = co_await AskUntil(1, "GET", "/submissions/run-1", "", 200, "cancelled", 2);
    EXPECT_TRUE(ok);
    state_->SetOutage(true);
    ok = co_await WaitFor(kCancelS, [&] { return cloud_->Running("run-1") == 0; });
    EXPECT_TRUE(ok);
    co_await Pause(told_ + kCancelS + 2 - loop_.Now());
    EXPECT_EQ(cloud_->Running("run-1"), 0);
    EXPECT_EQ(cloud_->Running("run-2"), 6) << "the outage costs nothing else";
    EXPECT_EQ(cloud_->starts(), 12);
    state_->SetOutage(false);
    state_->CutSecondary(false);
    ok = co_await AskUntil(0, "GET", "/submissions/run-1", "", 200, "cancelled", 10);
    EXPECT_TRUE(ok);
  }

  // Node 1 has read it for a user, long before its watch would tell: it must hand over what it
  // told.
  async::Task<> OnlyRead() {
    co_await Prepare();
    state_->SetWatchLag(10);
    state_->CutSecondary(true);
    co_await CancelledByAnother();
    bool ok = co_await AskUntil(1, "GET", "/submissions/run-1", "", 200, "cancelled", 2);
    EXPECT_TRUE(ok);
    state_->SetOutage(true);
    co_await Pause(told_ + kCancelS - loop_.Now());
    EXPECT_EQ(cloud_->Running("run-1"), 0);
    EXPECT_EQ(cloud_->Running("run-2"), 6);
    EXPECT_EQ(cloud_->starts(), 12);
    state_->SetWatchLag(0);
    state_->SetOutage(false);
    state_->CutSecondary(false);
  }

  // The whole machine stands still in the outage, for long enough to be a pause. What node 1 then
  // hands over must be carried out although no copy can be confirmed.
  async::Task<> HandedOverAfterAPause() {
    co_await Prepare();
    state_->SetWatchLag(10);
    state_->CutSecondary(true);
    co_await CancelledByAnother();
    bool ok = co_await AskUntil(1, "GET", "/submissions/run-1", "", 200, "cancelled", 2);
    EXPECT_TRUE(ok);
    state_->SetOutage(true);
    std::this_thread::sleep_for(std::chrono::duration<double>(kPauseS));
    co_await Pause(told_ + *cancel_s_ - loop_.Now());
    EXPECT_EQ(cloud_->Running("run-1"), 0);
    EXPECT_EQ(cloud_->Running("run-2"), 6) << "and nothing else is stopped";
    EXPECT_EQ(cloud_->starts(), 12);
    state_->SetWatchLag(0);
    state_->SetOutage(false);
    state_->CutSecondary(false);
  }

  // Whoever told it has ended; its node is back at once and sees the outage like all others, but
  // does not know what it told before.
  async::Task<> Forgot() {
    co_await Prepare();
    state_->CutSecondary(true);
    for (int node : {1, 2}) co_await ShutDownAndWait(node);
    co_await CancelledByAnother();
    state_->SetOutage(true);
    StartNodes(1, 3, 3);
    co_await Pause(told_ + kCancelS - loop_.Now());
    EXPECT_EQ(cloud_->Running("run-1"), 0);
    state_->SetOutage(false);
    state_->CutSecondary(false);
    bool ok = co_await AskUntil(1, "GET", "/submissions/run-1", "", 200, "cancelled", 10);
    EXPECT_TRUE(ok);
    ok = co_await WaitFor(15, [&] { return cloud_->Running("run-2") == 6; });
    EXPECT_TRUE(ok) << "the other job goes on afterwards";
    EXPECT_EQ(cloud_->Running("run-1"), 0);
  }

  // Nothing at all is cancelled: the outage is carried through.
  async::Task<> Ordinary() {
    co_await Prepare();
    state_->SetOutage(true);
    co_await Pause(kCancelS + 2);
    EXPECT_EQ(cloud_->Running("run-1"), 6);
    EXPECT_EQ(cloud_->Running("run-2"), 6);
    EXPECT_EQ(cloud_->starts(), 12);
    state_->SetOutage(false);
  }

 private:
  double told_ = 0;
};

TEST_F(GapTest, WhatAnotherNodeToldReachesTheOldLeader) {
  Start(3);
  Run(HandedOver());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(GapTest, WhatANodeHasReadForAUserIsHandedOverAsWell) {
  Start(3);
  Run(OnlyRead());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

// Guards against: a leader that was paused renews leases on the word of the others, and holds back
// the stops of what they hand over until its copy is confirmed (ran_cancelled).
class PauseInOutageTest : public GapTest {
 public:
  PauseInOutageTest() {
    // Workers must outlive the pause, and two tries at nodes that can't answer yet.
    lease_s_ = 8;
    cancel_s_ = 11;
  }
};

TEST_F(PauseInOutageTest, WhatIsHandedOverIsStoppedBeforeTheCopyIsConfirmed) {
  Start(3);
  Run(HandedOverAfterAPause());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(GapTest, ALeaderThatNobodyVouchesForFallsSilentInTime) {
  Start(3);
  Run(Forgot());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(GapTest, AnOutageWithoutCancellationsCarriesTasksThrough) {
  Start(3);
  Run(Ordinary());
}

}  // namespace
}  // namespace hallpier
