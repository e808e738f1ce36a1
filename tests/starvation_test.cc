// Jobs that have waited for longer than the configured bound.
#include "plan/starvation.h"

#include <gtest/gtest.h>

#include "model/job.h"
#include "plan/round.h"
#include "round_fixture.h"

namespace hallpier::plan {
namespace {

using namespace testing_support;

class StarvationTest : public RoundFixture {};

// Guards against starvation of the largest job behind a stream of small ones, and of a job class
// behind an urgent one. A job that has started keeps its usual place in the order until it has
// waited for twice the bound, and the share of the processors that starved jobs may use is limited.
TEST_F(StarvationTest, JobBeyondWaitBoundStartsRegardlessOfOrder) {
  auto large = Spec("run-1", 900), urgent = Spec("run-2", 40), small = Spec("run-3", 2);
  urgent.priority = model::Priority::kUrgent;
  operator_options_.starve_s = 60;
  PutJob(job_table_, large, 50);  // has waited 50 s
  PutJob(job_table_, urgent, 99);
  PutJob(job_table_, small, 99);
  for (const char* vm : {"vm-1", "vm-2"}) AddMachine(vm);
  EXPECT_EQ(CountPlaced(Plan(), "run-1"), 0U);
  PutJob(job_table_, large, 39);  // has waited 61 s
  EXPECT_EQ(CountPlaced(Plan(), "run-1"), 2U) << "a quarter of 8 processors";
  PutOpenTask(job_table_, "run-1", 0, 1, "vm-9");
  EXPECT_EQ(CountPlaced(Plan(), "run-1"), 0U) << "it has started";
  PutJob(job_table_, large, -21);  // has waited 121 s, more than twice the bound
  EXPECT_EQ(CountPlaced(Plan(), "run-1"), 1U);
}

}  // namespace
}  // namespace hallpier::plan
