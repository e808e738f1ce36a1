// Guards against a task that is started after its user was told that the job is cancelled: a leader
// that is cut off from the state service and the other nodes, but not from its workers, does not
// know the newest cancellations. Runs complete controllers, and the parts with a fake clock.
#include "election/start_lease.h"

#include <string>

#include "controller/cancellation_exchange.h"
#include "election/cancellation_watermark.h"
#include "end_to_end.h"
#include "fleet/reconciliation.h"

namespace hallpier {
namespace {

using namespace testing_support;

class StartLeaseTest : public EndToEndTest {
 public:
  StartLeaseTest() {
    // The workers' lease is long, so that a leader that is cut off answers them for 10 s.
    lease_s_ = 20;
    cancel_s_ = 60;
    run_s_ = 60;
    // A machine that is cut off is not returned during the test.
    operator_options_.silent_ratio = 200;
  }

  // Makes node 0 the leader with a machine that reports to it and has room.
  async::Task<> StartWithOneMachine() {
    co_await StartOthersOnceNode0Leads();
    bool ok =
        co_await AskUntil(0, "POST", "/submissions", SubmissionBody(Spec("run-1", 1)), 201, "", 10);
    EXPECT_TRUE(ok);
    ok = co_await WaitFor(20, [&] { return cloud_->Running("run-1") == 1; });
    EXPECT_TRUE(ok);
    co_await AwaitNoticeSupport();
  }

  // Waits until all nodes support the exchange of cancellations.
  async::Task<> AwaitNoticeSupport() {
    const bool ok = co_await WaitFor(20, [&] {
      bool all = true;
      for (int i = 0; i < 3; ++i) {
        const std::string format = state_->Value(store::NodeFormatKey("node-" + std::to_string(i)));
        all = all && store::ReadNodeFormat(format).value_or(0) >= store::kCancellationReportFormat;
      }
      return all;
    });
    EXPECT_TRUE(ok);
  }

  std::string LeaderNode() const {
    return store::ReadLeader(state_->Value(store::LeaderKey()))
        .value_or(store::LeaderRecord())
        .node;
  }

  // Lets the leader record a placement of run-2 whose start command does not arrive.
  async::Task<> PlaceWithoutStart() {
    cloud_->CutMachines(true);
    const int refused = cloud_->refused_commands();
    bool ok =
        co_await AskUntil(0, "POST", "/submissions", SubmissionBody(Spec("run-2", 1)), 201, "", 10);
    EXPECT_TRUE(ok);
    ok = co_await WaitFor(10, [&] { return cloud_->refused_commands() > refused; });
    EXPECT_TRUE(ok);
  }

  // The leader loses the state service and the other nodes. `canceller` acknowledges the
  // cancellation; then the machine reports to the former leader again.
  async::Task<> CancelWhileLeaderIsCutOff(int canceller) {
    co_await StartWithOneMachine();
    co_await PlaceWithoutStart();
    state_->CutSecondary(true);
    if (wait_for_successor_) {
      const bool ok = co_await WaitFor(10, [&] {
        const std::string leader = LeaderNode();
        return !leader.empty() && leader != "node-0";
      });
      EXPECT_TRUE(ok);
    }
    bool ok = co_await AskUntil(canceller, "POST", "/submissions/run-2/withdraw", "{}", 200,
                                "cancelled", 5);
    EXPECT_TRUE(ok);
    const int starts = cloud_->starts();
    cloud_->CutMachines(false);
    co_await Pause(4);
    EXPECT_EQ(cloud_->starts(), starts) << "started after the acknowledgement";
    EXPECT_EQ(cloud_->Running("run-1"), 1) << "other tasks are not affected";
    state_->CutSecondary(false);
  }

  // All nodes are connected and nothing else happens for longer than a start lease: a start that
  // only the response to a heartbeat can deliver must not wait for some other event.
  async::Task<> StartByHeartbeatOnAQuietSystem() {
    co_await StartWithOneMachine();
    co_await PlaceWithoutStart();
    co_await Pause(2 * election::kStartLeaseS);
    cloud_->CutMachines(false);
    const bool ok = co_await WaitFor(1.5, [&] { return cloud_->Running("run-2") == 1; });
    EXPECT_TRUE(ok);
  }

  // The leader confirms the cancellation, so nobody waits for the end of its start lease; nor does
  // a node that is down matter, unless it led a moment ago.
  async::Task<> CancelWithReachableLeader() {
    co_await StartWithOneMachine();
    co_await ShutDownAndWait(2);
    co_await Pause(election::kStartLeaseExpiryS);
    const double asked_at = loop_.Now();
    const wire::HttpResponse response =
        co_await Ask(1, "POST", "/submissions/run-1/withdraw", "{}");
    EXPECT_EQ(response.status, 200);
    EXPECT_LT(loop_.Now() - asked_at, election::kStartLeaseS / 2);
    const bool ok = co_await WaitFor(5, [&] { return cloud_->Running("run-1") == 0; });
    EXPECT_TRUE(ok);
  }

 protected:
  bool wait_for_successor_ = false;
};

class CutOffLeaderTest : public StartLeaseTest {
 public:
  CutOffLeaderTest() {
    partitioned_node_ = 0;
    wait_for_successor_ = true;
  }
};

TEST_F(CutOffLeaderTest, StartsNothingThatItsSuccessorsNodeHasCancelled) {
  Start(3);
  Run(CancelWhileLeaderIsCutOff(1));
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

// The cancellation is recorded while the leader's lease still runs and nobody else may lead.
class CutOffLeaderWithoutSuccessorTest : public StartLeaseTest {
 public:
  CutOffLeaderWithoutSuccessorTest() {
    partitioned_node_ = 0;
    operator_options_.leader_ttl_ratio = 20;
  }
};

TEST_F(CutOffLeaderWithoutSuccessorTest, StartsNothingThatAnotherNodeHasCancelled) {
  Start(3);
  Run(CancelWhileLeaderIsCutOff(2));
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

class ConnectedLeaderTest : public StartLeaseTest {
 public:
  ConnectedLeaderTest() { refused_node_ = 0; }
};

TEST_F(ConnectedLeaderTest, StartsByHeartbeatOnAQuietSystem) {
  Start(3);
  Run(StartByHeartbeatOnAQuietSystem());
}

TEST_F(ConnectedLeaderTest, CancellationIsAcknowledgedWithoutDelay) {
  Start(3);
  Run(CancelWithReachableLeader());
}

// The state service refuses the leader only. The leader knows the cancellations of the other nodes
// from their notices, and goes on starting other tasks on the basis of their reports.
TEST(StartLease, EndsUnlessTheCacheIsConfirmedOrAllNodesReport) {
  constexpr double kCancelS = 70, kWorkerLeaseS = 45, kHeartbeatS = 10;
  election::CancellationWatermark watermark({kCancelS, kWorkerLeaseS, kHeartbeatS},
                                            {"node-1", "node-2"});
  EXPECT_FALSE(watermark.MayStartTasks(0)) << "no cache confirmation yet";
  watermark.OnCacheConfirmed(10);
  EXPECT_TRUE(watermark.MayStartTasks(10 + election::kStartLeaseS));
  EXPECT_FALSE(watermark.MayStartTasks(10.01 + election::kStartLeaseS));
  EXPECT_TRUE(watermark.MayRenewLeases(20)) << "running tasks go on";
  watermark.OnCancellationReport("node-1", 20, {true, 100, {}});
  EXPECT_FALSE(watermark.MayStartTasks(20)) << "a report of one node is missing";
  watermark.OnCancellationReport("node-2", 19, {true, 100, {}});
  EXPECT_TRUE(watermark.MayStartTasks(19 + election::kStartLeaseS)) << "the oldest report counts";
  EXPECT_FALSE(watermark.MayStartTasks(19.01 + election::kStartLeaseS));
  election::CancellationWatermark single_node({kCancelS, kWorkerLeaseS, kHeartbeatS}, {});
  EXPECT_TRUE(single_node.MayStartTasks(1000)) << "no other node acknowledges cancellations";
  // The other nodes wait at least as long as the leader starts tasks, with the largest drift.
  EXPECT_GT(election::kStartLeaseExpiryS, election::kStartLeaseS * 1.001);
}

// The record of an unknown job may arrive in a version from before its cancellation.
TEST(StartLease, CoversNoJobThatWasCancelledBeforeItWasKnown) {
  async::EventLoop loop;
  async::Scope scope(loop);
  config::Settings settings = TestSettings();
  settings.cancel_s = 70;
  settings.seeds = {{"node-1", "a", "127.0.0.1:1"}};
  jobs::JobTable job_table(100);
  store::Client::Options options;
  options.rps = options.write_rps = 100;
  store::Client client(scope, options);
  store::WatchCache cache(scope, client, 1, [](const std::string&, const std::string&) {});
  controller::NodeServices services{};
  services.scope = &scope;
  services.settings = &settings;
  services.cache = &cache;
  services.job_table = &job_table;
  controller::CancellationExchange cancellations(services, [] { return 0; });
  cache.ConfirmCurrent(loop.Now());
  EXPECT_TRUE(cancellations.MayStartTasks("run-1"));
  cancellations.OnCancellation({"run-1", 7});
  EXPECT_FALSE(cancellations.MayStartTasks("run-1"));
  EXPECT_TRUE(cancellations.MayStartTasks("run-2"));
}

// Without permission a machine gets all commands except the starts.
TEST(StartLease, OmitsOnlyStarts) {
  jobs::JobTable job_table(100);
  fleet::WorkerRegistry registry({10, 45, 3, 3});
  PutJob(job_table, Spec("run-1", 2));
  PutJob(job_table, Spec("run-2", 1));
  PutJob(job_table, Spec("run-3", 1), 1, true);
  PutOpenTask(job_table, "run-1", 0, 1, "vm-1");
  PutOpenTask(job_table, "run-2", 0, 1, "vm-1");
  PutOpenTask(job_table, "run-3", 0, 1, "vm-1");
  registry.BeginTerm(kTestToken, -100, -100);
  model::Heartbeat heartbeat = MakeHeartbeat("vm-1", 1, 1, kTestToken);
  heartbeat.tasks.push_back(MakeTaskStatus("run-3", 0, 1, model::TaskPhase::kRunning));
  registry.OnHeartbeat(heartbeat, 0, false);
  fleet::Machine& machine = *registry.Find("vm-1");
  const fleet::StartFilter only_first = [](const std::string& job) { return job == "run-1"; };
  EXPECT_TRUE(fleet::OmitsStarts(registry, machine, job_table, only_first));
  const auto commands = fleet::Reconcile(registry, machine, job_table, false, only_first);
  ASSERT_EQ(commands.size(), 2U);
  EXPECT_EQ(commands[0].kind, model::CommandKind::kRun);
  EXPECT_EQ(commands[0].task.job, "run-1");
  EXPECT_EQ(commands[1].kind, model::CommandKind::kStop);
  EXPECT_EQ(commands[1].task.job, "run-3");
  EXPECT_FALSE(machine.sent_starts.contains({"run-2", 0})) << "an omitted start was not sent";
  const fleet::StartFilter all = [](const std::string&) { return true; };
  EXPECT_FALSE(fleet::OmitsStarts(registry, machine, job_table, all));
}

}  // namespace
}  // namespace hallpier
