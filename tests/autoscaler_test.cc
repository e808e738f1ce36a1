// Decisions to request and terminate machines, including when many silent machines mean that the
// leader itself is cut off.
#include "fleet/autoscaler.h"

#include <gtest/gtest.h>

#include "config/operator_options.h"
#include "fixtures.h"
#include "fleet/reconciliation.h"
#include "model/cloud.h"
#include "model/heartbeat.h"

namespace hallpier::fleet {
namespace {

using namespace testing_support;

class AutoscalerTest : public testing::Test {
 protected:
  AutoscalerTest() : settings_(TestSettings()), job_table_(64), registry_({3, 30, 3, 3}) {
    context_.settings = &settings_;
    context_.operator_options = &operator_options_;
    context_.machine_types = {MakeMachineType("c4", 4)};
  }
  void Heartbeat(int vm, uint64_t sequence, double now) {
    registry_.OnHeartbeat(MakeHeartbeat("vm-" + std::to_string(vm), 1, sequence, kTestToken), now,
                          false);
  }
  bool MarkForTermination(double now) {
    return autoscaler_.MarkMachinesForTermination(registry_, job_table_, context_, true, now);
  }
  int CountTerminating() {
    int count = 0;
    for (const auto& [name, machine] : registry_.machines())
      count += machine.cloud.terminating ? 1 : 0;
    return count;
  }

  config::Settings settings_;
  config::OperatorOptions operator_options_;
  jobs::JobTable job_table_;
  WorkerRegistry registry_;
  Autoscaler autoscaler_{settings_, operator_options_};
  plan::PlanningContext context_;
};

// Guards against a disconnected leader that terminates healthy machines. On two recorded days a
// leader lost contact with its workers and terminated one machine after another until more than
// half had been silent long enough to show that the fault was on the leader's side.
TEST_F(AutoscalerTest, TerminatesNoMachineWhenLeaderLosesContactWithItsWorkers) {
  registry_.BeginTerm(kTestToken, 0, 0);
  for (int vm = 0; vm < 10; ++vm) Heartbeat(vm, 1, 50 + 0.3 * vm);
  bool connected = true;
  for (double now = 53; connected && now < 80; now += 0.5) connected = MarkForTermination(now);
  EXPECT_FALSE(connected) << "a leader that is cut off must give up leadership";
  EXPECT_EQ(CountTerminating(), 0);
}

TEST_F(AutoscalerTest, TerminatesSilentMachineWhileOthersReport) {
  registry_.BeginTerm(kTestToken, 0, 0);
  for (uint64_t sequence = 1; sequence <= 6; ++sequence) {
    const double now = 50 + 3 * static_cast<double>(sequence);
    for (int vm = 0; vm < 10; ++vm) {
      if (vm > 0 || sequence == 1) Heartbeat(vm, sequence, now);
    }
    EXPECT_TRUE(MarkForTermination(now));
  }
  EXPECT_EQ(CountTerminating(), 1);
}

// After a failover the former leader may still respond to its workers for a while. Workers that
// still report to it are not silent.
TEST_F(AutoscalerTest, MachineIsNotSilentWhileFormerLeaderMayRespond) {
  registry_.BeginTerm(kTestToken, 100, 115);
  model::CloudMachine listed{
      "vm-1", "127.0.0.1:1", "c4", "a", false, model::CloudMachineState::kRunning, 90};
  registry_.OnCloudList({listed}, 100, 100);
  MarkForTermination(120);
  EXPECT_EQ(CountTerminating(), 0);
  MarkForTermination(125);
  EXPECT_EQ(CountTerminating(), 1);
}

// A partitioned zone recovers as a whole. Terminating all its machines would stop the tasks that
// run there, and replacements would not be available sooner.
TEST_F(AutoscalerTest, WaitsLongerBeforeTerminatingSilentZone) {
  registry_.BeginTerm(kTestToken, 0, 0);
  auto heartbeat = [&](int vm, uint64_t sequence, double now) {
    model::Heartbeat report = MakeHeartbeat("vm-" + std::to_string(vm), 1, sequence, kTestToken);
    report.zone = vm < 4 ? "a" : "b";
    registry_.OnHeartbeat(report, now, false);
  };
  const double partition_start = 50, expected_wait_s = 3 * settings_.lease_s;
  uint64_t sequence = 0;
  auto simulate = [&](double from, double to) {
    for (double now = from; now < to; now += settings_.heartbeat_interval_s) {
      ++sequence;
      for (int vm = now < partition_start ? 0 : 4; vm < 12; ++vm) heartbeat(vm, sequence, now);
      EXPECT_TRUE(MarkForTermination(now));
    }
  };
  simulate(0, partition_start + expected_wait_s - 2 * settings_.heartbeat_interval_s);
  EXPECT_EQ(CountTerminating(), 0);
  simulate(partition_start + expected_wait_s,
           partition_start + expected_wait_s + 3 * settings_.heartbeat_interval_s);
  EXPECT_EQ(CountTerminating(), 4) << "silent for too long to be only partitioned";
}

model::ScaleOutRequest MakeScaleOutRequest(int count) {
  model::ScaleOutRequest request;
  request.machine_type = "c4";
  request.zone = "a";
  request.count = count;
  return request;
}

// Machines that were requested, some of which never boot.
class AutoscalerBootTest : public AutoscalerTest {
 protected:
  AutoscalerBootTest() { registry_.BeginTerm(kTestToken, 0, 0); }
  void ScaleOut(int first, int count, double now) {
    std::vector<std::string> names;
    names.reserve(count);
    for (int i = 0; i < count; ++i) names.push_back("vm-" + std::to_string(first + i));
    registry_.OnScaledOut(names, MakeScaleOutRequest(count), now);
  }
  // Returns how many machines may be requested if `needed` are needed.
  int AllowedRequests(int needed, double now) {
    std::vector<model::ScaleOutRequest> requests = {MakeScaleOutRequest(needed)};
    requests =
        Autoscaler::LimitBooting(registry_, context_.machine_types, now, std::move(requests));
    return requests.empty() ? 0 : requests[0].count;
  }
  double boot_s() const { return context_.machine_types[0].boot_s; }
};

TEST_F(AutoscalerBootTest, TerminatesMachineThatNeverBoots) {
  ScaleOut(1, 2, 0);
  Heartbeat(1, 1, boot_s());
  Heartbeat(1, 2, 4 * boot_s() + settings_.list_lag_s - settings_.heartbeat_interval_s);
  MarkForTermination(3.9 * boot_s());
  EXPECT_EQ(CountTerminating(), 0);
  MarkForTermination(4.1 * boot_s() + settings_.list_lag_s);
  EXPECT_EQ(CountTerminating(), 1);
  EXPECT_TRUE(registry_.Find("vm-2")->cloud.terminating);
}

// Guards against terminating slow machines that are about to report. On a recorded day most
// machines took four times as long to boot as usual. Most of them were terminated just before they
// came up, and the wait for their replacements started over.
TEST_F(AutoscalerBootTest, WaitsLongerWhenAllMachinesAreLate) {
  ScaleOut(1, 10, 0);
  for (double now = 0; now < 7.9 * boot_s(); now += boot_s() / 10) MarkForTermination(now);
  EXPECT_EQ(CountTerminating(), 0);
  MarkForTermination(8 * boot_s() + 2 * settings_.list_lag_s);
  EXPECT_EQ(CountTerminating(), 10);
}

TEST_F(AutoscalerBootTest, ReplacesMachinesThatNeverBootOnlyOnce) {
  int requested = 0;
  auto scale_out = [&](double now) {
    // A round demands only machines that are not already booting on time.
    const size_t booting_on_time = registry_.CountBooting(context_.machine_types[0], now).on_time;
    const int count =
        booting_on_time >= 10 ? 0 : AllowedRequests(10 - static_cast<int>(booting_on_time), now);
    if (count > 0) ScaleOut(requested + 1, count, now);
    requested += count;
  };
  scale_out(0);
  EXPECT_EQ(requested, 10);
  for (double now = 2.1 * boot_s(); now < 7.9 * boot_s(); now += boot_s() / 10) scale_out(now);
  EXPECT_EQ(requested, 20) << "each late machine is replaced once while it may still boot";
}

TEST_F(AutoscalerBootTest, MachineThatReportsAfterTerminationDecisionIsStillTerminated) {
  PutJob(job_table_, Spec("run-1", 4));
  ScaleOut(1, 1, 0);
  const double decided_at = 4.1 * boot_s() + settings_.list_lag_s;
  MarkForTermination(decided_at);
  ASSERT_EQ(CountTerminating(), 1);
  Heartbeat(1, 1, decided_at + 1);
  Machine& machine = *registry_.Find("vm-1");
  EXPECT_FALSE(registry_.AcceptsTasks(machine, decided_at + 1));
  PutOpenTask(job_table_, "run-1", 0, 1, "vm-1");
  EXPECT_TRUE(Reconcile(registry_, machine, job_table_, false).empty());
  EXPECT_TRUE(machine.cloud.terminating) << "a heartbeat does not revoke the termination";
  registry_.OnTerminated("vm-1");
  Heartbeat(1, 2, decided_at + 2);
  EXPECT_TRUE(registry_.Find("vm-1")->cloud.terminating) << "nor does a delayed heartbeat";
}

// A new leader measures the boot time from the machine's age in the cloud's list.
TEST_F(AutoscalerBootTest, LeaderChangeDoesNotRestartBootDeadline) {
  registry_.BeginTerm(model::FencingToken(9), 100, 100);
  model::CloudMachine listed{
      "vm-1", "127.0.0.1:1", "c4", "a", false, model::CloudMachineState::kBooting, 3.9 * boot_s()};
  registry_.OnCloudList({listed}, 100, 100);
  MarkForTermination(100);
  EXPECT_EQ(CountTerminating(), 0);
  MarkForTermination(100 + 0.2 * boot_s() + settings_.list_lag_s);
  EXPECT_EQ(CountTerminating(), 1);
}

}  // namespace
}  // namespace hallpier::fleet
