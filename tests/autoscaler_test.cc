// Which machines are requested and terminated, and when silence is more likely our own fault.
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
  AutoscalerTest() : settings_(SettingsOf()), job_table_(64), registry_({3, 30, 3, 3}) {
    context_.settings = &settings_;
    context_.operators = &operators_;
    context_.machine_types = {MachineTypeOf("c4", 4)};
  }
  void Heartbeat(int vm, uint64_t sequence, double now) {
    registry_.OnHeartbeat(ReportOf("vm-" + std::to_string(vm), 1, sequence, kTestToken), now,
                          false);
  }
  bool Review(double now) {
    return autoscaler_.MarkMachinesForTermination(registry_, job_table_, context_, true, now);
  }
  int Terminating() {
    int count = 0;
    for (const auto& [name, machine] : registry_.machines())
      count += machine.cloud.terminating ? 1 : 0;
    return count;
  }

  config::Settings settings_;
  config::OperatorOptions operators_;
  jobs::JobTable job_table_;
  WorkerRegistry registry_;
  Autoscaler autoscaler_{settings_, operators_};
  plan::PlanningContext context_;
};

// Two recorded days: a leader lost contact with its workers, and terminated one machine after the
// other until more than half of them had been silent for long enough to show that the fault was its
// own.
TEST_F(AutoscalerTest, ALeaderThatLosesItsWorkersTerminatesNoneOfThem) {
  registry_.BeginTerm(kTestToken, 0, 0);
  for (int vm = 0; vm < 10; ++vm) Heartbeat(vm, 1, 50 + 0.3 * vm);
  bool heard = true;
  for (double now = 53; heard && now < 80; now += 0.5) heard = Review(now);
  EXPECT_FALSE(heard) << "it gives up the lead";
  EXPECT_EQ(Terminating(), 0);
}

TEST_F(AutoscalerTest, AMachineThatIsSilentWhileOthersReportIsTerminated) {
  registry_.BeginTerm(kTestToken, 0, 0);
  for (uint64_t sequence = 1; sequence <= 6; ++sequence) {
    const double now = 50 + 3 * static_cast<double>(sequence);
    for (int vm = 0; vm < 10; ++vm) {
      if (vm > 0 || sequence == 1) Heartbeat(vm, sequence, now);
    }
    EXPECT_TRUE(Review(now));
  }
  EXPECT_EQ(Terminating(), 1);
}

// After a failover the former leader may answer its workers for a while, and they stay with it.
TEST_F(AutoscalerTest, WorkersThatAreStillWithTheFormerLeaderAreNotSilent) {
  registry_.BeginTerm(kTestToken, 100, 115);
  model::CloudMachine listed{
      "vm-1", "127.0.0.1:1", "c4", "a", false, model::CloudMachineState::kRunning, 90};
  registry_.OnCloudList({listed}, 100, 100);
  Review(120);
  EXPECT_EQ(Terminating(), 0);
  Review(125);
  EXPECT_EQ(Terminating(), 1);
}

// A partitioned zone comes back as a whole. To terminate all its machines would stop what runs
// there, and new machines could not be had sooner.
TEST_F(AutoscalerTest, AZoneThatFallsSilentAsAWholeIsNotTerminatedInARush) {
  registry_.BeginTerm(kTestToken, 0, 0);
  auto heartbeat = [&](int vm, uint64_t sequence, double now) {
    model::Heartbeat report = ReportOf("vm-" + std::to_string(vm), 1, sequence, kTestToken);
    report.zone = vm < 4 ? "a" : "b";
    registry_.OnHeartbeat(report, now, false);
  };
  const double cut = 50, patience = 3 * settings_.lease_s;
  uint64_t sequence = 0;
  auto run = [&](double from, double to) {
    for (double now = from; now < to; now += settings_.heartbeat_interval_s) {
      ++sequence;
      for (int vm = now < cut ? 0 : 4; vm < 12; ++vm) heartbeat(vm, sequence, now);
      EXPECT_TRUE(Review(now));
    }
  };
  run(0, cut + patience - 2 * settings_.heartbeat_interval_s);
  EXPECT_EQ(Terminating(), 0);
  run(cut + patience, cut + patience + 3 * settings_.heartbeat_interval_s);
  EXPECT_EQ(Terminating(), 4) << "it was not just a partition";
}

model::ScaleOutRequest RequestOf(int count) {
  model::ScaleOutRequest request;
  request.machine_type = "c4";
  request.zone = "a";
  request.count = count;
  return request;
}

// Machines that were requested, and of which some never come up.
class LateMachineTest : public AutoscalerTest {
 protected:
  LateMachineTest() { registry_.BeginTerm(kTestToken, 0, 0); }
  void ScaleOut(int first, int count, double now) {
    std::vector<std::string> names;
    names.reserve(count);
    for (int i = 0; i < count; ++i) names.push_back("vm-" + std::to_string(first + i));
    registry_.OnScaledOut(names, RequestOf(count), now);
  }
  // How many machines may be requested when so many are needed.
  int Allowed(int needed, double now) {
    std::vector<model::ScaleOutRequest> requests = {RequestOf(needed)};
    requests =
        Autoscaler::LimitBooting(registry_, context_.machine_types, now, std::move(requests));
    return requests.empty() ? 0 : requests[0].count;
  }
  double ready() const { return context_.machine_types[0].boot_s; }
};

TEST_F(LateMachineTest, AMachineThatNeverComesUpIsTerminated) {
  ScaleOut(1, 2, 0);
  Heartbeat(1, 1, ready());
  Heartbeat(1, 2, 4 * ready() + settings_.list_lag_s - settings_.heartbeat_interval_s);
  Review(3.9 * ready());
  EXPECT_EQ(Terminating(), 0);
  Review(4.1 * ready() + settings_.list_lag_s);
  EXPECT_EQ(Terminating(), 1);
  EXPECT_TRUE(registry_.Find("vm-2")->cloud.terminating);
}

// Most machines take four times as long to boot. On a recorded day like that most of them were
// terminated just before they came up, and the wait for others began from the start.
TEST_F(LateMachineTest, WhereAllAreLateTheyAreWaitedFor) {
  ScaleOut(1, 10, 0);
  for (double now = 0; now < 7.9 * ready(); now += ready() / 10) Review(now);
  EXPECT_EQ(Terminating(), 0);
  Review(8 * ready() + 2 * settings_.list_lag_s);
  EXPECT_EQ(Terminating(), 10);
}

TEST_F(LateMachineTest, TenMachinesThatNeverComeDoNotBecomeAHundred) {
  int granted = 0;
  auto scale_out = [&](double now) {
    // A round demands what is not booting in time already.
    const size_t coming = registry_.CountBooting(context_.machine_types[0], now).on_time;
    const int count = coming >= 10 ? 0 : Allowed(10 - static_cast<int>(coming), now);
    if (count > 0) ScaleOut(granted + 1, count, now);
    granted += count;
  };
  scale_out(0);
  EXPECT_EQ(granted, 10);
  for (double now = 2.1 * ready(); now < 7.9 * ready(); now += ready() / 10) scale_out(now);
  EXPECT_EQ(granted, 20) << "each is replaced once while it may still come up";
}

TEST_F(LateMachineTest, AMachineThatIsUpAsItsTerminationIsDecidedIsTerminatedAndNotUsed) {
  PutJob(job_table_, Spec("run-1", 4));
  ScaleOut(1, 1, 0);
  const double up = 4.1 * ready() + settings_.list_lag_s;
  Review(up);
  ASSERT_EQ(Terminating(), 1);
  Heartbeat(1, 1, up + 1);
  Machine& machine = *registry_.Find("vm-1");
  EXPECT_FALSE(registry_.AcceptsTasks(machine, up + 1));
  Place(job_table_, "run-1", 0, 1, "vm-1");
  EXPECT_TRUE(Reconcile(registry_, machine, job_table_, false).empty());
  EXPECT_TRUE(machine.cloud.terminating) << "a heartbeat does not call it off";
  registry_.OnTerminated("vm-1");
  Heartbeat(1, 2, up + 2);
  EXPECT_TRUE(registry_.Find("vm-1")->cloud.terminating) << "nor does one that comes late";
}

// The next leader counts the time of a boot from the age that the list states.
TEST_F(LateMachineTest, AChangeOfLeaderDoesNotStartABootOver) {
  registry_.BeginTerm(model::FencingToken(9), 100, 100);
  model::CloudMachine listed{
      "vm-1", "127.0.0.1:1", "c4", "a", false, model::CloudMachineState::kBooting, 3.9 * ready()};
  registry_.OnCloudList({listed}, 100, 100);
  Review(100);
  EXPECT_EQ(Terminating(), 0);
  Review(100 + 0.2 * ready() + settings_.list_lag_s);
  EXPECT_EQ(Terminating(), 1);
}

}  // namespace
}  // namespace hallpier::fleet
