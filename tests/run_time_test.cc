// The prediction of run times.
#include "plan/run_time.h"

#include <gtest/gtest.h>

#include "round_fixture.h"
#include "store/task_group.h"

namespace hallpier::plan {
namespace {

using namespace testing_support;

class RunTimeTest : public RoundFixture {};

TEST_F(RunTimeTest, PredictsFromObservedMeanIfThereIsOne) {
  PutJob(job_table_, Spec("run-1", 4));
  EXPECT_DOUBLE_EQ(PredictRunTime(*job_table_.Find("run-1"), "c4"), 10);
  store::TaskGroup task_group;
  task_group.done.Insert(0);
  task_group.runs["c8"] = {2, 12};
  PutTaskGroup(job_table_, "run-1", 0, task_group);
  EXPECT_DOUBLE_EQ(PredictRunTime(*job_table_.Find("run-1"), "c4"), 6);
  task_group.runs["c4"] = {1, 8};
  PutTaskGroup(job_table_, "run-1", 0, task_group);
  EXPECT_DOUBLE_EQ(PredictRunTime(*job_table_.Find("run-1"), "c4"), 8);
}

}  // namespace
}  // namespace hallpier::plan
