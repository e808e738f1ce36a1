// The gap: the state service refuses the leader alone, another node confirms cancellations, then
// the service is out for everybody. Scripted peers and one worker, by a fake clock.
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

constexpr double kCancel = 70, kLease = 45, kReport = 10;

// A peer as the leader sees it: what it complete for and hands over at a moment, if it answers.
using Peer = std::function<std::optional<wire::CancellationReport>(double now, uint64_t beyond)>;

wire::CancellationReport Nothing() { return {true, 100, {}}; }

class GapDay : public testing::Test {
 protected:
  static constexpr double kRefused = 0;  // from here on the leader's own copy is of no use
  static constexpr double kTold = 2;     // when a user hears "cancelled" from node-1
  static constexpr model::FencingToken kToken{7};

  GapDay()
      : watermark_({kCancel, kLease, kReport}, {"node-1", "node-2"}),
        registry_({kReport, kLease, 3, 3}) {
    PutJob(job_table_, Spec("run-1", 2));
    PutJob(job_table_, Spec("run-2", 1));
    PutOpenTask(job_table_, "run-1", 0, 1, "vm-1");
    PutOpenTask(job_table_, "run-2", 0, 1, "vm-1");
    registry_.BeginTerm(kToken, -100, -100);
    on_machine_ = {{"run-1", true}, {"run-2", true}};
    watermark_.OnCacheConfirmed(kRefused);
  }

  // What node-1 says once it has confirmed the cancellation of run-1.
  static wire::CancellationReport HandsOver(double now, uint64_t beyond) {
    wire::CancellationReport v{true, now < kTold ? 100U : 105U, {}};
    if (now >= kTold && beyond < 105) v.cancelled = {{"run-1", 105}};
    return v;
  }

  void AskPeers(double now) {
    for (auto& [node, peer] : peers_) {
      const wire::CancellationReportRequest q = watermark_.RequestFor(node, 100);
      const auto cancellation_report = peer(now, q.after_revision);
      if (!cancellation_report) continue;
      for (const wire::Cancellation& c : cancellation_report->cancelled) {
        auto record = job_table_.CancelledRecord(c.job);
        if (record)
          job_table_.Apply(store::ParseKey(store::JobKey(c.job)), store::WriteJob(*record));
      }
      watermark_.OnCancellationReport(node, now, *cancellation_report);
    }
  }

  // Plays until `end`; the machine hangs from `hangs` until `back`. Returns when run-1's task had
  // gone, and leaves in on_machine_ what is still there.
  double Play(double end, double hangs = 1e9, double back = 1e9) {
    double renewed = kRefused, gone_at = -1;
    uint64_t sequence = 0, session = 1;
    double next = 1;
    for (double now = kRefused; now < end; now += 0.5) {
      AskPeers(now);
      if (now >= hangs && now < back) continue;
      if (now > renewed + kLease) {  // the worker kills and forgets everything
        on_machine_ = {{"run-1", false}, {"run-2", false}};
        ++session;
        renewed = now;
      }
      if (now >= next && watermark_.MayRenewLeases(now)) {
        next = now + kReport;
        renewed = now;
        model::Heartbeat r = MakeHeartbeat("vm-1", session, ++sequence, kToken);
        for (const auto& [job, there] : on_machine_) {
          if (there) r.tasks.push_back(MakeTaskStatus(job, 0, 1, model::TaskPhase::kRunning));
        }
        registry_.OnHeartbeat(r, now, false);
        for (const model::WorkerCommand& o :
             fleet::Reconcile(registry_, *registry_.Find("vm-1"), job_table_, false)) {
          if (o.kind == model::CommandKind::kStop) on_machine_[o.task.job] = false;
          if (o.kind == model::CommandKind::kRun) on_machine_[o.task.job] = true;
        }
      }
      if (!on_machine_["run-1"] && gone_at < 0) gone_at = now;
    }
    return gone_at;
  }

  jobs::JobTable job_table_{100};
  CancellationWatermark watermark_;
  fleet::WorkerRegistry registry_;
  std::map<std::string, Peer> peers_ = {{"node-1", HandsOver},
                                        {"node-2", [](double, uint64_t) { return Nothing(); }}};
  std::map<std::string, bool> on_machine_;
};

TEST_F(GapDay, WhoVouchesHandsOverWhatItTold) {
  const double gone = Play(120);
  EXPECT_GT(gone, kTold);
  EXPECT_LT(gone, kTold + 2 * kReport) << "the next report fetches the order to stop";
  EXPECT_TRUE(on_machine_["run-2"]) << "all others go on through the whole outage";
}

TEST_F(GapDay, TheConfirmingNodeEndsRightAfterItsAnswer) {
  // Started anew it has read nothing and can give no cancellation report, however often it is
  // asked.
  peers_["node-1"] = [](double now, uint64_t beyond) -> std::optional<wire::CancellationReport> {
    if (now < kTold) return HandsOver(now, beyond);
    return wire::CancellationReport{false, 0, {}};
  };
  const double gone = Play(120);
  EXPECT_GT(gone, kTold);
  EXPECT_LE(gone, kTold + kCancel);
}

TEST_F(GapDay, TheConfirmingNodeIsCutOffRightAfterItsAnswer) {
  peers_["node-1"] = [](double now, uint64_t beyond) -> std::optional<wire::CancellationReport> {
    if (now < kTold) return HandsOver(now, beyond);
    return std::nullopt;
  };
  const double gone = Play(120);
  EXPECT_GT(gone, kTold);
  EXPECT_LE(gone, kTold + kCancel);
}

TEST_F(GapDay, AMessageIsLost) {
  // What is lost is asked for again, with the same lower end.
  peers_["node-1"] = [](double now, uint64_t beyond) -> std::optional<wire::CancellationReport> {
    if (now < 15) return std::nullopt;
    EXPECT_TRUE(now > 15 || beyond == 100) << beyond;
    return HandsOver(now, beyond);
  };
  const double gone = Play(120);
  EXPECT_GT(gone, 15);
  EXPECT_LE(gone, 15 + kReport + 1);
  EXPECT_TRUE(on_machine_["run-2"]);
}

TEST_F(GapDay, ACancelledPipelineStartsNothing) {
  auto spec = Spec("run-3", 1);
  spec.dependencies = {"run-1"};
  PutJob(job_table_, spec);
  Play(20);
  EXPECT_TRUE(job_table_.Find("run-3")->cancelled) << "what awaits it goes with it";
  jobs::TaskTransition m;
  m.task = {"run-3", 0};
  m.attempt = 1;
  m.machine = "vm-1";
  store::TaskGroup task_group;
  EXPECT_FALSE(job_table_.ApplyTransition(*job_table_.Find("run-3"), m, &task_group));
}

TEST_F(GapDay, AHungMachineComesBack) {
  // Within its lease it goes on with its tasks; the answer to its first report stops the cancelled
  // one.
  const double gone = Play(120, 2.5, 40);
  EXPECT_GE(gone, 40);
  EXPECT_LE(gone, 41);
  EXPECT_TRUE(on_machine_["run-2"]);
}

TEST_F(GapDay, AnOutageWithoutCancellationsCostsNothing) {
  peers_["node-1"] = [](double, uint64_t) { return Nothing(); };
  Play(300);
  EXPECT_TRUE(on_machine_["run-1"]);
  EXPECT_TRUE(on_machine_["run-2"]);
}

TEST_F(GapDay, AnOlderVersionDoesNotVouch) {
  peers_["node-2"] = [](double, uint64_t) { return std::nullopt; };
  const double gone = Play(120);
  EXPECT_TRUE(gone > 0);
  EXPECT_FALSE(on_machine_["run-2"]) << "the leader fell silent in time, and all leases ran out";
  EXPECT_FALSE(watermark_.MayRenewLeases(kRefused + kCancel - kLease));
  EXPECT_TRUE(watermark_.MayRenewLeases(kRefused + 0.4 * kLease)) << "not sooner than needed";
}

TEST(CancellationWatermark, IsTheOwnCopyOrWhatAllOthersVouchFor) {
  CancellationWatermark watermark({kCancel, kLease, kReport}, {"node-1", "node-2"});
  EXPECT_FALSE(watermark.MayRenewLeases(0)) << "nothing is known yet";
  watermark.OnCacheConfirmed(10);
  EXPECT_EQ(watermark.Watermark(12), 10);
  EXPECT_FALSE(watermark.CacheIsStale(24));
  EXPECT_TRUE(watermark.CacheIsStale(26));
  watermark.OnCancellationReport("node-1", 20, Nothing());
  EXPECT_EQ(watermark.Watermark(21), 10) << "one is missing";
  watermark.OnCancellationReport("node-2", 18, Nothing());
  EXPECT_EQ(watermark.Watermark(21), 18) << "the oldest counts";
  watermark.OnCancellationReport("node-2", 25, {false, 500, {}});
  EXPECT_EQ(watermark.Watermark(26), 18) << "who does not vouch has said nothing";
  EXPECT_EQ(watermark.RequestFor("node-2", 90).after_revision, 100U);
  EXPECT_EQ(watermark.RequestFor("node-2", 120).after_revision, 120U);
  // The last answer and a whole lease after it end before cancel_s is over.
  EXPECT_LT(watermark.renewal_bound_s() + kLease, kCancel);
  EXPECT_GT(watermark.renewal_bound_s() + kLease, kCancel - kReport / 2);
  CancellationWatermark alone({kCancel, kLease, kReport}, {});
  EXPECT_TRUE(alone.MayRenewLeases(1000)) << "nobody else tells anything";
}

}  // namespace
}  // namespace hallpier::election
