// Which machines count as slower than others.
#include "fleet/slowness_estimate.h"

#include <gtest/gtest.h>

#include "model/heartbeat.h"
#include "model/task.h"
#include "worker_registry_fixture.h"

namespace hallpier::fleet {
namespace {

using namespace testing_support;

class SlownessEstimateTest : public WorkerRegistryFixture {};

// A leader that gets no heartbeats for a while, or leads again after another did, takes no machine
// for slow: tasks that it saw start may have ended long ago (docs/incidents/inc-01ae.md).
TEST_F(SlownessEstimateTest, WhatWasNotObservedMakesNoMachineSlow) {
  const std::vector<model::TaskStatus> tasks = JobWithKnownTimes();
  Heartbeat(1, 1, kToken, 0);
  Heartbeat(1, 2, kToken, 1, tasks);
  registry_.UpdateObservations(job_table_);  // 90 s later, say, with no report since
  EXPECT_FALSE(IsSlow(*registry_.Find("vm-1")));
  registry_.BeginTerm(model::FencingToken(12), 90, 100);
  Heartbeat(1, 60, model::FencingToken(12), 91, tasks);
  registry_.UpdateObservations(job_table_);
  EXPECT_FALSE(IsSlow(*registry_.Find("vm-1"))) << "another leader observed them meanwhile";
}

TEST_F(SlownessEstimateTest, AMachineThatTakesFarLongerThanOthersGetsNothingNew) {
  std::vector<model::TaskStatus> tasks = JobWithKnownTimes();
  Heartbeat(1, 1, kToken, 0);
  tasks.push_back(TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning));
  Heartbeat(1, 2, kToken, 1, tasks);
  Heartbeat(1, 3, kToken, 15, tasks);
  registry_.UpdateObservations(job_table_);
  EXPECT_TRUE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 15)) << "14 s for 10 s happens";
  Heartbeat(1, 4, kToken, 45, tasks);
  registry_.UpdateObservations(job_table_);
  EXPECT_FALSE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 45));
  EXPECT_GT(registry_.Find("vm-1")->performance.slowness, 2);
}

}  // namespace
}  // namespace hallpier::fleet
