// Retries of jobs that fail on every machine.
#include "plan/retry_budget.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "model/heartbeat.h"
#include "model/job.h"
#include "plan/round.h"
#include "round_fixture.h"

namespace hallpier::plan {
namespace {

using namespace testing_support;

class RetryBudgetTest : public RoundFixture {};

// A job that failed on every machine gets one task at a time, after the other waiting jobs of its
// tier. No machine is requested and no task is preempted for it.
TEST_F(RetryBudgetTest, JobThatFailsEverywhereIsRetriedAfterOthersOfItsTier) {
  for (const char* name : {"vm-1", "vm-2", "vm-3"}) AddMachine(name);
  PutJob(job_table_, Spec("run-1", 20), 1);
  for (const char* name : {"vm-1", "vm-2", "vm-3"})
    registry_.failure_tracker().OnFailure("run-1", name, 90);
  registry_.UpdateObservations(job_table_);
  RoundResult alone = Plan();
  EXPECT_EQ(CountPlaced(alone, "run-1"), 1U);
  EXPECT_EQ(alone.retried_jobs, std::vector<std::string>{"run-1"});
  EXPECT_TRUE(alone.demands.empty());
  PutJob(job_table_, Spec("run-2", 12), 50);
  RoundResult with_other_job = Plan();
  EXPECT_EQ(CountPlaced(with_other_job, "run-2"), 12U);
  EXPECT_EQ(CountPlaced(with_other_job, "run-1"), 0U);
  EXPECT_TRUE(with_other_job.preemptions.empty());
}

TEST_F(RetryBudgetTest, RetryWaitsForBackoff) {
  for (const char* name : {"vm-1", "vm-2", "vm-3"}) AddMachine(name);
  PutJob(job_table_, Spec("run-1", 20), 1);
  for (const char* name : {"vm-1", "vm-2", "vm-3"})
    registry_.failure_tracker().OnFailure("run-1", name, 99);
  registry_.UpdateObservations(job_table_);
  EXPECT_TRUE(Plan().placements.empty());
  registry_.failure_tracker().OnSuccess("run-1", "vm-1");
  EXPECT_EQ(CountPlaced(Plan(), "run-1"), 4U) << "all on the machine where it succeeded";
}

// A job that fits on no other machine returns to a machine where it failed, but only after its
// backoff.
TEST_F(RetryBudgetTest, RetriesJobThatFailedOnAllSuitableMachines) {
  AddMachine("vm-1");
  for (int i = 2; i < 6; ++i) {
    model::Heartbeat other = MakeHeartbeat("vm-" + std::to_string(i), 1, 1, kTestToken);
    other.zone = "b";
    registry_.OnHeartbeat(other, 100, false);
  }
  model::JobSpec job_in_zone_a = Spec("run-1", 8);
  job_in_zone_a.zone = "a";
  PutJob(job_table_, job_in_zone_a, 1);
  registry_.failure_tracker().OnFailure("run-1", "vm-1", 99);
  registry_.UpdateObservations(job_table_);
  EXPECT_EQ(CountPlaced(Plan(), "run-1"), 0U);
  RoundResult later = PlanRound(context_, job_table_, registry_, 103, 103);
  EXPECT_EQ(CountPlaced(later, "run-1"), 1U);
  EXPECT_EQ(later.retried_jobs, std::vector<std::string>{"run-1"});
}

// The retries of all jobs that fail everywhere share a small part of the processors, regardless of
// the number of such jobs.
TEST_F(RetryBudgetTest, LimitsRetriesOfManyBrokenJobs) {
  for (int i = 0; i < 30; ++i) AddMachine("vm-" + std::to_string(i));
  for (int j = 0; j < 10; ++j) {
    const std::string id = "run-" + std::to_string(j);
    PutJob(job_table_, Spec(id, 20), 1);
    for (int i = 0; i < 3; ++i)
      registry_.failure_tracker().OnFailure(id, "vm-" + std::to_string(i), 90);
  }
  registry_.UpdateObservations(job_table_);
  EXPECT_EQ(Plan().placements.size(), 2U) << "2 of 120 processors";
}

}  // namespace
}  // namespace hallpier::plan
