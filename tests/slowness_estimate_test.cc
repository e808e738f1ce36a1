// The estimate of how much slower a machine is than others.
#include "fleet/slowness_estimate.h"

#include <gtest/gtest.h>

#include "model/heartbeat.h"
#include "model/task.h"
#include "worker_registry_fixture.h"

namespace hallpier::fleet {
namespace {

using namespace testing_support;

class SlownessEstimateTest : public WorkerRegistryFixture {};

// Guards against healthy machines that count as slow. A leader that has received no heartbeats for
// a while, or that becomes leader again after another one, must not count the time in which it
// observed nothing: tasks that it saw start may have ended long ago (docs/incidents/inc-01ae.md).
TEST_F(SlownessEstimateTest, UnobservedTimeDoesNotMakeMachineSlow) {
  const std::vector<model::TaskStatus> tasks = PutJobWithKnownRunTimes();
  Heartbeat(1, 1, kToken, 0);
  Heartbeat(1, 2, kToken, 1, tasks);
  registry_.UpdateObservations(job_table_);  // e.g. after 90 s without a report
  EXPECT_FALSE(IsSlow(*registry_.Find("vm-1")));
  registry_.BeginTerm(model::FencingToken(12), 90, 100);
  Heartbeat(1, 60, model::FencingToken(12), 91, tasks);
  registry_.UpdateObservations(job_table_);
  EXPECT_FALSE(IsSlow(*registry_.Find("vm-1")))
      << "another leader observed the tasks in the meantime";
}

TEST_F(SlownessEstimateTest, MuchSlowerMachineGetsNoNewTasks) {
  std::vector<model::TaskStatus> tasks = PutJobWithKnownRunTimes();
  Heartbeat(1, 1, kToken, 0);
  tasks.push_back(MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning));
  Heartbeat(1, 2, kToken, 1, tasks);
  Heartbeat(1, 3, kToken, 15, tasks);
  registry_.UpdateObservations(job_table_);
  EXPECT_TRUE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 15))
      << "14 s instead of 10 s is not unusual";
  Heartbeat(1, 4, kToken, 45, tasks);
  registry_.UpdateObservations(job_table_);
  EXPECT_FALSE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 45));
  EXPECT_GT(registry_.Find("vm-1")->performance.slowness, 2);
}

}  // namespace
}  // namespace hallpier::fleet
