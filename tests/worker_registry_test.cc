// The state of machines: whether they accept tasks, are silent or are marked for termination.
#include "fleet/worker_registry.h"

#include <gtest/gtest.h>

#include "model/heartbeat.h"
#include "model/task.h"
#include "worker_registry_fixture.h"

namespace hallpier::fleet {
namespace {

using namespace testing_support;

class WorkerRegistryTest : public WorkerRegistryFixture {};

TEST_F(WorkerRegistryTest, MachineThatOnlyAnswersDirectCommandsIsSilentAndGetsNoTasks) {
  Heartbeat(1, 1, kToken, 100);
  EXPECT_TRUE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 101));
  for (uint64_t i = 2; i < 8; ++i) {
    registry_.OnHeartbeat(MakeHeartbeat("vm-1", 1, i, kToken), 100 + 3.0 * static_cast<double>(i),
                          true);
  }
  EXPECT_FALSE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 122));
  EXPECT_TRUE(registry_.IsSilent(*registry_.Find("vm-1"), 122));
}

TEST_F(WorkerRegistryTest, MachineThatReportsAfterTerminationIsTerminatedAgain) {
  registry_.OnTerminated("vm-1");
  Heartbeat(1, 1, kToken, 5);
  EXPECT_TRUE(registry_.Find("vm-1")->cloud.terminating);
  EXPECT_FALSE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 5));
}

TEST_F(WorkerRegistryTest, JobThatFailsEverywhereTerminatesNoMachine) {
  for (int i = 0; i < 5; ++i) {
    model::Heartbeat report = MakeHeartbeat("vm-" + std::to_string(i), 1, 1, kToken);
    report.tasks = {MakeTaskStatus("run-2", 0, 1, model::TaskPhase::kRunning)};
    registry_.OnHeartbeat(report, 1, false);
    report.sequence = 2;
    report.tasks = {
        MakeTaskStatus("run-2", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)};
    registry_.OnHeartbeat(report, 2, false);
  }
  for (const auto& [name, machine] : registry_.machines())
    EXPECT_FALSE(machine.cloud.terminating) << name;
}

// Guards against missing the failures of a faulty machine: on a recorded day a machine failed four
// tasks per second, each before a heartbeat reported it as running.
TEST_F(WorkerRegistryTest, CountsFailureOfTaskThatWasNeverReportedRunning) {
  Heartbeat(1, 1, kToken, 1,
            {MakeTaskStatus("run-2", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)});
  ASSERT_NE(registry_.failure_tracker().FailedOn("run-2"), nullptr);
  EXPECT_TRUE(registry_.failure_tracker().FailedOn("run-2")->contains("vm-1"));
  EXPECT_TRUE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 1));
  Heartbeat(1, 2, kToken, 2,
            {MakeTaskStatus("run-3", 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)});
  EXPECT_FALSE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 2));
}

// Either job may be the cause of its failures. The machine therefore gets no new tasks from the
// first suspicion on, and is terminated only once both jobs have succeeded elsewhere.
TEST_F(WorkerRegistryTest, TerminatesMachineOnceItsFailedJobsSucceedElsewhere) {
  uint64_t sequence = 0;
  for (const char* job : {"run-2", "run-3"}) {
    PutJob(job_table_, Spec(job, 4));
    Heartbeat(1, ++sequence, kToken, 1, {MakeTaskStatus(job, 0, 1, model::TaskPhase::kRunning)});
    Heartbeat(1, ++sequence, kToken, 2,
              {MakeTaskStatus(job, 0, 1, model::TaskPhase::kExited, model::ExitCause::kError)});
  }
  EXPECT_FALSE(registry_.AcceptsTasks(*registry_.Find("vm-1"), 2));
  model::Heartbeat other = MakeHeartbeat("vm-2", 1, 1, kToken);
  for (const char* job : {"run-2", "run-3"}) {
    registry_.UpdateObservations(job_table_);
    EXPECT_FALSE(registry_.Find("vm-1")->cloud.terminating)
        << "no success has shown yet that " << job << " is sound";
    ++other.sequence;
    other.tasks.push_back(
        MakeTaskStatus(job, 1, 1, model::TaskPhase::kExited, model::ExitCause::kDone));
    registry_.OnHeartbeat(other, 3, false);
  }
  registry_.UpdateObservations(job_table_);
  EXPECT_TRUE(registry_.Find("vm-1")->cloud.terminating);
  EXPECT_FALSE(registry_.Find("vm-2")->cloud.terminating);
}

}  // namespace
}  // namespace hallpier::fleet
