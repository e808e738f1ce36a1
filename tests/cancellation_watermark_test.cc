// Guards against a cancelled job whose tasks keep running: the state service refuses requests of
// the leader only, another node acknowledges a cancellation, and then the service is unavailable to
// all nodes. Uses scripted peers, one worker and a fake clock.
#include "election/cancellation_watermark.h"

#include <gtest/gtest.h>

#include <functional>

#include "fixtures.h"
#include "fleet/reconciliation.h"
#include "model/heartbeat.h"
#include "model/task.h"

namespace hallpier::election {
namespace {

using namespace testing_support;

constexpr double kCancelS = 70, kLeaseS = 45, kHeartbeatIntervalS = 10;

// Returns a peer's cancellation report at time `now`, or std::nullopt if the peer does not answer.
using ScriptedPeer =
    std::function<std::optional<wire::CancellationReport>(double now, uint64_t after_revision)>;

wire::CancellationReport EmptyReport() { return {true, 100, {}}; }

class CancellationDuringOutageTest : public testing::Test {
 protected:
  // The leader's cache is last confirmed at this time. All later requests of the leader are
  // refused.
  static constexpr double kRefusedAt = 0;
  // node-1 acknowledges the cancellation of run-1 to a user at this time.
  static constexpr double kAcknowledgedAt = 2;
  static constexpr model::FencingToken kToken{7};

  CancellationDuringOutageTest()
      : watermark_({kCancelS, kLeaseS, kHeartbeatIntervalS}, {"node-1", "node-2"}),
        registry_({kHeartbeatIntervalS, kLeaseS, 3, 3}) {
    PutJob(job_table_, Spec("run-1", 2));
    PutJob(job_table_, Spec("run-2", 1));
    PutOpenTask(job_table_, "run-1", 0, 1, "vm-1");
    PutOpenTask(job_table_, "run-2", 0, 1, "vm-1");
    registry_.BeginTerm(kToken, -100, -100);
    on_machine_ = {{"run-1", true}, {"run-2", true}};
    watermark_.OnCacheConfirmed(kRefusedAt);
  }

  // Returns the report of node-1, which includes run-1 once its cancellation is acknowledged.
  static wire::CancellationReport ReportOfNode1(double now, uint64_t after_revision) {
    wire::CancellationReport report{true, now < kAcknowledgedAt ? 100U : 105U, {}};
    if (now >= kAcknowledgedAt && after_revision < 105) report.cancelled = {{"run-1", 105}};
    return report;
  }

  void RequestReports(double now) {
    for (auto& [node, peer] : peers_) {
      const wire::CancellationReportRequest request = watermark_.BuildReportRequest(node, 100);
      const auto report = peer(now, request.after_revision);
      if (!report) continue;
      for (const wire::Cancellation& c : report->cancelled) {
        auto record = job_table_.CancelledRecord(c.job);
        if (record)
          job_table_.Apply(store::ParseKey(store::JobKey(c.job)), store::WriteJob(*record));
      }
      watermark_.OnCancellationReport(node, now, *report);
    }
  }

  // Simulates until `end`; the machine hangs from `hang_start` to `hang_end`. Returns the time at
  // which run-1's task had stopped, or -1 if it still runs. on_machine_ then tells for each job
  // whether its task still runs.
  double Simulate(double end, double hang_start = 1e9, double hang_end = 1e9) {
    double renewed_at = kRefusedAt, stopped_at = -1;
    uint64_t sequence = 0, agent_epoch = 1;
    double next_heartbeat = 1;
    for (double now = kRefusedAt; now < end; now += 0.5) {
      RequestReports(now);
      if (now >= hang_start && now < hang_end) continue;
      if (now > renewed_at + kLeaseS) {  // the worker stops and drops all its tasks
        on_machine_ = {{"run-1", false}, {"run-2", false}};
        ++agent_epoch;
        renewed_at = now;
      }
      if (now >= next_heartbeat && watermark_.MayRenewLeases(now)) {
        next_heartbeat = now + kHeartbeatIntervalS;
        renewed_at = now;
        model::Heartbeat heartbeat = MakeHeartbeat("vm-1", agent_epoch, ++sequence, kToken);
        for (const auto& [job, running] : on_machine_) {
          if (running)
            heartbeat.tasks.push_back(MakeTaskStatus(job, 0, 1, model::TaskPhase::kRunning));
        }
        registry_.OnHeartbeat(heartbeat, now, false);
        for (const model::WorkerCommand& command :
             fleet::Reconcile(registry_, *registry_.Find("vm-1"), job_table_, false)) {
          if (command.kind == model::CommandKind::kStop) on_machine_[command.task.job] = false;
          if (command.kind == model::CommandKind::kRun) on_machine_[command.task.job] = true;
        }
      }
      if (!on_machine_["run-1"] && stopped_at < 0) stopped_at = now;
    }
    return stopped_at;
  }

  jobs::JobTable job_table_{100};
  CancellationWatermark watermark_;
  fleet::WorkerRegistry registry_;
  std::map<std::string, ScriptedPeer> peers_ = {
      {"node-1", ReportOfNode1}, {"node-2", [](double, uint64_t) { return EmptyReport(); }}};
  std::map<std::string, bool> on_machine_;
};

TEST_F(CancellationDuringOutageTest, ReportedCancellationStopsOnlyThatJob) {
  const double stopped_at = Simulate(120);
  EXPECT_GT(stopped_at, kAcknowledgedAt);
  EXPECT_LT(stopped_at, kAcknowledgedAt + 2 * kHeartbeatIntervalS)
      << "the next heartbeat returns the stop command";
  EXPECT_TRUE(on_machine_["run-2"]) << "other jobs run through the whole outage";
}

TEST_F(CancellationDuringOutageTest, TasksEndInTimeIfANodeRestartsRightAfterItsAcknowledgement) {
  // After its restart the node has read no state. However often it is asked, it cannot give a
  // complete report.
  peers_["node-1"] = [](double now,
                        uint64_t after_revision) -> std::optional<wire::CancellationReport> {
    if (now < kAcknowledgedAt) return ReportOfNode1(now, after_revision);
    return wire::CancellationReport{false, 0, {}};
  };
  const double stopped_at = Simulate(120);
  EXPECT_GT(stopped_at, kAcknowledgedAt);
  EXPECT_LE(stopped_at, kAcknowledgedAt + kCancelS);
}

TEST_F(CancellationDuringOutageTest, TasksEndInTimeIfANodeIsCutOffRightAfterItsAcknowledgement) {
  peers_["node-1"] = [](double now,
                        uint64_t after_revision) -> std::optional<wire::CancellationReport> {
    if (now < kAcknowledgedAt) return ReportOfNode1(now, after_revision);
    return std::nullopt;
  };
  const double stopped_at = Simulate(120);
  EXPECT_GT(stopped_at, kAcknowledgedAt);
  EXPECT_LE(stopped_at, kAcknowledgedAt + kCancelS);
}

TEST_F(CancellationDuringOutageTest, LostReportIsRequestedAgain) {
  // The repeated request has the same after_revision as the lost one.
  peers_["node-1"] = [](double now,
                        uint64_t after_revision) -> std::optional<wire::CancellationReport> {
    if (now < 15) return std::nullopt;
    EXPECT_TRUE(now > 15 || after_revision == 100) << after_revision;
    return ReportOfNode1(now, after_revision);
  };
  const double stopped_at = Simulate(120);
  EXPECT_GT(stopped_at, 15);
  EXPECT_LE(stopped_at, 15 + kHeartbeatIntervalS + 1);
  EXPECT_TRUE(on_machine_["run-2"]);
}

TEST_F(CancellationDuringOutageTest, DependentsOfACancelledJobDoNotStart) {
  auto spec = Spec("run-3", 1);
  spec.dependencies = {"run-1"};
  PutJob(job_table_, spec);
  Simulate(20);
  EXPECT_TRUE(job_table_.Find("run-3")->cancelled)
      << "jobs that await a cancelled job are cancelled";
  jobs::TaskTransition transition;
  transition.task = {"run-3", 0};
  transition.attempt = 1;
  transition.machine = "vm-1";
  store::TaskGroup task_group;
  EXPECT_FALSE(job_table_.ApplyTransition(*job_table_.Find("run-3"), transition, &task_group));
}

TEST_F(CancellationDuringOutageTest, HungMachineStopsTheCancelledTaskOnRecovery) {
  // The machine recovers within its lease and keeps its tasks. The answer to its first heartbeat
  // stops the cancelled one.
  const double stopped_at = Simulate(120, 2.5, 40);
  EXPECT_GE(stopped_at, 40);
  EXPECT_LE(stopped_at, 41);
  EXPECT_TRUE(on_machine_["run-2"]);
}

TEST_F(CancellationDuringOutageTest, OutageWithoutCancellationsStopsNoTask) {
  peers_["node-1"] = [](double, uint64_t) { return EmptyReport(); };
  Simulate(300);
  EXPECT_TRUE(on_machine_["run-1"]);
  EXPECT_TRUE(on_machine_["run-2"]);
}

TEST_F(CancellationDuringOutageTest, LeasesExpireInTimeIfAPeerDoesNotSupportReports) {
  peers_["node-2"] = [](double, uint64_t) { return std::nullopt; };
  const double stopped_at = Simulate(120);
  EXPECT_TRUE(stopped_at > 0);
  EXPECT_FALSE(on_machine_["run-2"])
      << "the leader stopped answering in time, and all leases expired";
  EXPECT_FALSE(watermark_.MayRenewLeases(kRefusedAt + kCancelS - kLeaseS));
  EXPECT_TRUE(watermark_.MayRenewLeases(kRefusedAt + 0.4 * kLeaseS)) << "no earlier than needed";
}

TEST(CancellationWatermark, IsTheLaterOfTheConfirmedCacheAndTheOldestPeerReport) {
  CancellationWatermark watermark({kCancelS, kLeaseS, kHeartbeatIntervalS}, {"node-1", "node-2"});
  EXPECT_FALSE(watermark.MayRenewLeases(0)) << "no cache confirmation yet";
  watermark.OnCacheConfirmed(10);
  EXPECT_EQ(watermark.Watermark(12), 10);
  EXPECT_FALSE(watermark.CacheIsStale(24));
  EXPECT_TRUE(watermark.CacheIsStale(26));
  watermark.OnCancellationReport("node-1", 20, EmptyReport());
  EXPECT_EQ(watermark.Watermark(21), 10) << "a report of one node is missing";
  watermark.OnCancellationReport("node-2", 18, EmptyReport());
  EXPECT_EQ(watermark.Watermark(21), 18) << "the oldest report counts";
  watermark.OnCancellationReport("node-2", 25, {false, 500, {}});
  EXPECT_EQ(watermark.Watermark(26), 18) << "an incomplete report does not count";
  EXPECT_EQ(watermark.BuildReportRequest("node-2", 90).after_revision, 100U);
  EXPECT_EQ(watermark.BuildReportRequest("node-2", 120).after_revision, 120U);
  // A worker lease that starts with the last permitted answer expires before cancel_s has passed.
  EXPECT_LT(watermark.renewal_bound_s() + kLeaseS, kCancelS);
  EXPECT_GT(watermark.renewal_bound_s() + kLeaseS, kCancelS - kHeartbeatIntervalS / 2);
  CancellationWatermark single_node({kCancelS, kLeaseS, kHeartbeatIntervalS}, {});
  EXPECT_TRUE(single_node.MayRenewLeases(1000)) << "no other node acknowledges cancellations";
}

}  // namespace
}  // namespace hallpier::election
