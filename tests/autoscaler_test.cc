// Which machines are given up, and when the fault is more likely ours.
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

class RenterTest : public testing::Test {
 protected:
  RenterTest() : settings_(SettingsOf()), job_table_(64), registry_({3, 30, 3, 3}) {
    context_.settings = &settings_;
    context_.operators = &operators_;
    context_.machine_types = {MachineTypeOf("c4", 4)};
  }
  void Hear(int vm, uint64_t sequence, double now) {
    registry_.OnHeartbeat(ReportOf("vm-" + std::to_string(vm), 1, sequence, kTestToken), now,
                          false);
  }
  bool Review(double now) {
    return autoscaler_.Review(registry_, job_table_, context_, true, now);
  }
  int Returning() {
    int n = 0;
    for (const auto& [name, m] : registry_.all()) n += m.cloud.terminating ? 1 : 0;
    return n;
  }

  config::Settings settings_;
  config::OperatorOptions operators_;
  jobs::JobTable job_table_;
  WorkerRegistry registry_;
  Autoscaler autoscaler_{settings_, operators_};
  plan::Context context_;
};

// Two recorded days: a leader lost its workers, and returned one machine after the other until at
// last more than half of them had been silent for long enough to say that the fault was its own.
TEST_F(RenterTest, ALeaderThatLosesItsWorkersReturnsNoneOfThem) {
  registry_.BeginTerm(kTestToken, 0, 0);
  for (int vm = 0; vm < 10; ++vm) Hear(vm, 1, 50 + 0.3 * vm);
  bool heard = true;
  for (double now = 53; heard && now < 80; now += 0.5) heard = Review(now);
  EXPECT_FALSE(heard) << "it gives up the lead";
  EXPECT_EQ(Returning(), 0);
}

TEST_F(RenterTest, AMachineThatIsSilentWhileOthersReportIsReturned) {
  registry_.BeginTerm(kTestToken, 0, 0);
  for (uint64_t sequence = 1; sequence <= 6; ++sequence) {
    const double now = 50 + 3 * static_cast<double>(sequence);
    for (int vm = 0; vm < 10; ++vm) {
      if (vm > 0 || sequence == 1) Hear(vm, sequence, now);
    }
    EXPECT_TRUE(Review(now));
  }
  EXPECT_EQ(Returning(), 1);
}

// After a takeover the former leader may answer its workers for a while, and they stay with it.
TEST_F(RenterTest, WorkersThatAreStillWithTheFormerLeaderAreNotSilent) {
  registry_.BeginTerm(kTestToken, 100, 115);
  model::CloudMachine l{"vm-1", "127.0.0.1:1", "c4", "a", false, model::CloudMachineState::kRunning,
                        90};
  registry_.OnCloudList({l}, 100, 100);
  Review(120);
  EXPECT_EQ(Returning(), 0);
  Review(125);
  EXPECT_EQ(Returning(), 1);
}

// A zone that is cut off comes back as a whole. To return all that lies in it would stop what runs
// there, and new machines could not be had sooner.
TEST_F(RenterTest, AZoneThatFallsSilentAsAWholeIsNotReturnedInARush) {
  registry_.BeginTerm(kTestToken, 0, 0);
  auto hear = [&](int vm, uint64_t sequence, double now) {
    model::Heartbeat r = ReportOf("vm-" + std::to_string(vm), 1, sequence, kTestToken);
    r.zone = vm < 4 ? "a" : "b";
    registry_.OnHeartbeat(r, now, false);
  };
  const double cut = 50, patience = 3 * settings_.lease_s;
  uint64_t sequence = 0;
  auto run = [&](double from, double to) {
    for (double now = from; now < to; now += settings_.heartbeat_interval_s) {
      ++sequence;
      for (int vm = now < cut ? 0 : 4; vm < 12; ++vm) hear(vm, sequence, now);
      EXPECT_TRUE(Review(now));
    }
  };
  run(0, cut + patience - 2 * settings_.heartbeat_interval_s);
  EXPECT_EQ(Returning(), 0);
  run(cut + patience, cut + patience + 3 * settings_.heartbeat_interval_s);
  EXPECT_EQ(Returning(), 4) << "it was not just a cut";
}

model::ScaleOutRequest RentalOf(int count) {
  model::ScaleOutRequest r;
  r.machine_type = "c4";
  r.zone = "a";
  r.count = count;
  return r;
}

// Machines 1 to `count` were rented at `now`.
class LateMachineTest : public RenterTest {
 protected:
  LateMachineTest() { registry_.BeginTerm(kTestToken, 0, 0); }
  void Rent(int first, int count, double now) {
    std::vector<std::string> names;
    names.reserve(count);
    for (int i = 0; i < count; ++i) names.push_back("vm-" + std::to_string(first + i));
    registry_.OnScaledOut(names, RentalOf(count), now);
  }
  // How many machines may be rented when so many are needed.
  int Allowed(int needed, double now) {
    std::vector<model::ScaleOutRequest> requests = {RentalOf(needed)};
    Autoscaler::LimitOutstanding(registry_, context_.machine_types, now, &requests);
    return requests.empty() ? 0 : requests[0].count;
  }
  double ready() const { return context_.machine_types[0].boot_s; }
};

TEST_F(LateMachineTest, AMachineThatNeverComesUpIsReturned) {
  Rent(1, 2, 0);
  Hear(1, 1, ready());
  Hear(1, 2, 4 * ready() + settings_.list_lag_s - settings_.heartbeat_interval_s);
  Review(3.9 * ready());
  EXPECT_EQ(Returning(), 0);
  Review(4.1 * ready() + settings_.list_lag_s);
  EXPECT_EQ(Returning(), 1);
  EXPECT_TRUE(registry_.Find("vm-2")->cloud.terminating);
}

// Most machines take four times as long: to return them just before they come up, and to wait for
// others from the start, is what cost a day of that most of its machines.
TEST_F(LateMachineTest, WhereAllAreLateTheyAreWaitedFor) {
  Rent(1, 10, 0);
  for (double now = 0; now < 7.9 * ready(); now += ready() / 10) Review(now);
  EXPECT_EQ(Returning(), 0);
  Review(8 * ready() + 2 * settings_.list_lag_s);
  EXPECT_EQ(Returning(), 10);
}

TEST_F(LateMachineTest, TenMachinesThatNeverComeDoNotBecomeAHundred) {
  int rented = 0;
  auto rent = [&](double now) {
    // A round wants what is not on its way in time.
    const size_t coming = registry_.CountBooting(context_.machine_types[0], now).on_time;
    const int n = coming >= 10 ? 0 : Allowed(10 - static_cast<int>(coming), now);
    if (n > 0) Rent(rented + 1, n, now);
    rented += n;
  };
  rent(0);
  EXPECT_EQ(rented, 10);
  for (double now = 2.1 * ready(); now < 7.9 * ready(); now += ready() / 10) rent(now);
  EXPECT_EQ(rented, 20) << "each is replaced once while it may still come up";
}

TEST_F(LateMachineTest, AMachineThatIsUpAsItsReturnIsDecidedIsReturnedAndNotUsed) {
  PutJob(job_table_, Spec("run-1", 4));
  Rent(1, 1, 0);
  const double up = 4.1 * ready() + settings_.list_lag_s;
  Review(up);
  ASSERT_EQ(Returning(), 1);
  Hear(1, 1, up + 1);
  Machine& m = *registry_.Find("vm-1");
  EXPECT_FALSE(registry_.AcceptsTasks(m, up + 1));
  Place(job_table_, "run-1", 0, 1, "vm-1");
  EXPECT_TRUE(Reconcile(registry_, m, job_table_, false).empty());
  EXPECT_TRUE(m.cloud.terminating) << "a report does not call it off";
  registry_.OnTerminated("vm-1");
  Hear(1, 2, up + 2);
  EXPECT_TRUE(registry_.Find("vm-1")->cloud.terminating) << "nor does one that comes late";
}

// Whoever leads next counts a boot from what the list says of its age.
TEST_F(LateMachineTest, AChangeOfLeaderDoesNotStartABootOver) {
  registry_.BeginTerm(model::FencingToken(9), 100, 100);
  model::CloudMachine l{
      "vm-1", "127.0.0.1:1", "c4", "a", false, model::CloudMachineState::kBooting, 3.9 * ready()};
  registry_.OnCloudList({l}, 100, 100);
  Review(100);
  EXPECT_EQ(Returning(), 0);
  Review(100 + 0.2 * ready() + settings_.list_lag_s);
  EXPECT_EQ(Returning(), 1);
}

}  // namespace
}  // namespace hallpier::fleet
