// Guards against a cancelled job whose tasks run longer than cancel_s. Runs complete controllers:
// the state service refuses requests of the leader only, another node acknowledges a cancellation,
// and then the service is unavailable to all nodes for longer than cancel_s.
#include <chrono>
#include <thread>

#include "end_to_end.h"

namespace hallpier {
namespace {

using namespace testing_support;

constexpr double kCancelS = 5;   // the workers' lease is 3 s
constexpr double kPauseS = 2.3;  // LeaderElection::MaxRenewalGapS is 2.03 s

class RefusedLeaderCancellationTest : public EndToEndTest {
 public:
  RefusedLeaderCancellationTest() {
    refused_node_ = 0;
    cancel_s_ = kCancelS;
    run_s_ = 60;
  }

  // Makes node 0 the leader with two running jobs. Waits until all nodes support cancellation
  // reports.
  async::Task<> StartJobs() {
    co_await StartOthersOnceNode0Leads();
    bool ok = false;
    for (const char* id : {"run-1", "run-2"}) {
      ok = co_await AskUntil(1, "POST", "/submissions", SubmissionBody(Spec(id, 6)), 201, "", 10);
      EXPECT_TRUE(ok);
    }
    ok = co_await WaitFor(20, [&] {
      bool all = cloud_->Running("run-1") == 6 && cloud_->Running("run-2") == 6;
      for (int i = 0; i < 3; ++i) {
        const std::string format = state_->Value(store::NodeFormatKey("node-" + std::to_string(i)));
        all = all && store::ReadNodeFormat(format).value_or(0) >= store::kCancellationReportFormat;
      }
      return all;
    });
    EXPECT_TRUE(ok);
    co_await Pause(3 * kHeartbeatIntervalS);
  }

  // Records the cancellation of run-1 like a process that acknowledges it to its user and exits
  // before any other node learns of it.
  async::Task<> CancelByExitedProcess() {
    store::JobRecord record;
    record.spec = Spec("run-1", 6);
    record.submitted_at = 1;
    record.cancelled = true;
    const std::string value = store::WriteJob(record);
    co_await WriteRecord(store::JobKey("run-1"), value);
    acknowledged_at_ = loop_.Now();
  }

  // Node 1 knows the cancellation. The leader can learn of it only from node 1's cancellation
  // report.
  async::Task<> ReportFromWatch() {
    co_await StartJobs();
    state_->CutSecondary(true);
    co_await CancelByExitedProcess();
    bool ok = co_await AskUntil(1, "GET", "/submissions/run-1", "", 200, "cancelled", 2);
    EXPECT_TRUE(ok);
    state_->SetOutage(true);
    ok = co_await WaitFor(kCancelS, [&] { return cloud_->Running("run-1") == 0; });
    EXPECT_TRUE(ok);
    co_await Pause(acknowledged_at_ + kCancelS + 2 - loop_.Now());
    EXPECT_EQ(cloud_->Running("run-1"), 0);
    EXPECT_EQ(cloud_->Running("run-2"), 6) << "the outage stops no other task";
    EXPECT_EQ(cloud_->starts(), 12);
    state_->SetOutage(false);
    state_->CutSecondary(false);
    ok = co_await AskUntil(0, "GET", "/submissions/run-1", "", 200, "cancelled", 10);
    EXPECT_TRUE(ok);
  }

  // Node 1 has read the cancellation for a user long before its watch delivers it. Its report must
  // include each cancellation that it has acknowledged.
  async::Task<> ReportFromRead() {
    co_await StartJobs();
    state_->SetWatchLag(10);
    state_->CutSecondary(true);
    co_await CancelByExitedProcess();
    bool ok = co_await AskUntil(1, "GET", "/submissions/run-1", "", 200, "cancelled", 2);
    EXPECT_TRUE(ok);
    state_->SetOutage(true);
    co_await Pause(acknowledged_at_ + kCancelS - loop_.Now());
    EXPECT_EQ(cloud_->Running("run-1"), 0);
    EXPECT_EQ(cloud_->Running("run-2"), 6);
    EXPECT_EQ(cloud_->starts(), 12);
    state_->SetWatchLag(0);
    state_->SetOutage(false);
    state_->CutSecondary(false);
  }

  // The process, with all nodes and fakes, is blocked during the outage for long enough to count as
  // paused. The leader must then stop the tasks that node 1 reports as cancelled although no cache
  // can be confirmed.
  async::Task<> ReportAfterPause() {
    co_await StartJobs();
    state_->SetWatchLag(10);
    state_->CutSecondary(true);
    co_await CancelByExitedProcess();
    bool ok = co_await AskUntil(1, "GET", "/submissions/run-1", "", 200, "cancelled", 2);
    EXPECT_TRUE(ok);
    state_->SetOutage(true);
    std::this_thread::sleep_for(std::chrono::duration<double>(kPauseS));
    co_await Pause(acknowledged_at_ + *cancel_s_ - loop_.Now());
    EXPECT_EQ(cloud_->Running("run-1"), 0);
    EXPECT_EQ(cloud_->Running("run-2"), 6) << "no other task is stopped";
    EXPECT_EQ(cloud_->starts(), 12);
    state_->SetWatchLag(0);
    state_->SetOutage(false);
    state_->CutSecondary(false);
  }

  // The process that acknowledged the cancellation has exited. Its node restarts at once and sees
  // the outage like all others, but no longer knows which cancellations it acknowledged.
  async::Task<> RestartWithoutReports() {
    co_await StartJobs();
    state_->CutSecondary(true);
    for (int node : {1, 2}) co_await ShutDownAndWait(node);
    co_await CancelByExitedProcess();
    state_->SetOutage(true);
    StartNodes(1, 3, 3);
    co_await Pause(acknowledged_at_ + kCancelS - loop_.Now());
    EXPECT_EQ(cloud_->Running("run-1"), 0);
    state_->SetOutage(false);
    state_->CutSecondary(false);
    bool ok = co_await AskUntil(1, "GET", "/submissions/run-1", "", 200, "cancelled", 10);
    EXPECT_TRUE(ok);
    ok = co_await WaitFor(15, [&] { return cloud_->Running("run-2") == 6; });
    EXPECT_TRUE(ok) << "the other job continues after the outage";
    EXPECT_EQ(cloud_->Running("run-1"), 0);
  }

  // No job is cancelled: all tasks run through the outage.
  async::Task<> OutageWithoutCancellation() {
    co_await StartJobs();
    state_->SetOutage(true);
    co_await Pause(kCancelS + 2);
    EXPECT_EQ(cloud_->Running("run-1"), 6);
    EXPECT_EQ(cloud_->Running("run-2"), 6);
    EXPECT_EQ(cloud_->starts(), 12);
    state_->SetOutage(false);
  }

 private:
  double acknowledged_at_ = 0;
};

TEST_F(RefusedLeaderCancellationTest, CancellationFromAnotherNodesWatchStopsTheTasks) {
  Start(3);
  Run(ReportFromWatch());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(RefusedLeaderCancellationTest, CancellationReadForAUserStopsTheTasks) {
  Start(3);
  Run(ReportFromRead());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

// Guards against a cancelled task that keeps running (the failure ran_cancelled): a leader that was
// paused renews leases because of the other nodes' reports, but delays the stop commands for the
// reported cancellations until its cache is confirmed.
class PausedRefusedLeaderTest : public RefusedLeaderCancellationTest {
 public:
  PausedRefusedLeaderTest() {
    // Workers' leases must outlast the pause and two attempts at nodes that cannot answer yet.
    lease_s_ = 8;
    cancel_s_ = 11;
  }
};

TEST_F(PausedRefusedLeaderTest, ReportedCancellationStopsTasksBeforeTheCacheIsConfirmed) {
  Start(3);
  Run(ReportAfterPause());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(RefusedLeaderCancellationTest, LeaderWithoutReportsStopsRenewingLeasesInTime) {
  Start(3);
  Run(RestartWithoutReports());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(RefusedLeaderCancellationTest, OutageWithoutCancellationsStopsNoTask) {
  Start(3);
  Run(OutageWithoutCancellation());
}

}  // namespace
}  // namespace hallpier
