// Whole rounds: the order in which jobs are served, and how many tasks one round places.
#include "plan/round.h"

#include <gtest/gtest.h>

#include <string>

#include "model/job.h"
#include "round_fixture.h"

namespace hallpier::plan {
namespace {

using namespace testing_support;

class RoundTest : public RoundFixture {};

TEST_F(RoundTest, PlacesHigherTierFirst) {
  auto low = Spec("run-1", 4), high = Spec("run-2", 4);
  low.priority = model::Priority::kBestEffort;
  high.priority = model::Priority::kUrgent;
  PutJob(job_table_, low, 1);
  PutJob(job_table_, high, 2);
  AddMachine("vm-1");
  auto r = Plan();
  EXPECT_EQ(CountPlaced(r, "run-2"), 4U);
  EXPECT_EQ(CountPlaced(r, "run-1"), 0U);
}

TEST_F(RoundTest, PlacesLeastRemainingWorkFirstAndMissedObjectivesLast) {
  settings_.objectives = {{"finished", "lane", 50, 0.9}};
  auto big = Spec("run-1", 200), small = Spec("run-2", 2), late = Spec("run-3", 1);
  late.estimated_run_s = 60;
  PutJob(job_table_, late, 97);
  PutJob(job_table_, big, 98);
  PutJob(job_table_, small, 99);
  AddMachine("vm-1");
  auto r = Plan();
  EXPECT_EQ(CountPlaced(r, "run-2"), 2U);
  EXPECT_EQ(CountPlaced(r, "run-1"), 2U);
  EXPECT_EQ(CountPlaced(r, "run-3"), 0U);
}

// Guards against starvation: a steady stream of normal jobs would delay best-effort jobs
// indefinitely.
TEST_F(RoundTest, BestEffortJobMovesUpAfterWaiting) {
  settings_.objectives = {{"finished", "slow", 200, 0.9}};
  auto low = Spec("run-1", 4), normal = Spec("run-2", 400);
  low.priority = model::Priority::kBestEffort;
  low.job_class = "slow";
  PutJob(job_table_, normal, 99);
  PutJob(job_table_, low, 60);  // has waited 40 s
  AddMachine("vm-1");
  EXPECT_EQ(CountPlaced(Plan(), "run-1"), 0U);
  PutJob(job_table_, low, 35);  // has waited 65 s, more than a third of its objective
  EXPECT_EQ(CountPlaced(Plan(), "run-1"), 4U);
}

TEST_F(RoundTest, AwaitedJobInheritsPriorityOfUrgentDependent) {
  model::JobSpec first = Spec("run-1", 4);
  first.priority = model::Priority::kBestEffort;
  model::JobSpec last = Spec("run-2", 1);
  last.priority = model::Priority::kUrgent;
  last.dependencies = {"run-1"};
  PutJob(job_table_, first, 5);
  PutJob(job_table_, Spec("run-3", 4), 1);
  AddMachine("vm-1");
  EXPECT_EQ(CountPlaced(Plan(), "run-3"), 4U);
  PutJob(job_table_, last, 6);
  EXPECT_EQ(CountPlaced(Plan(), "run-1"), 4U);
}

// The protocol allows a job of 100,000 tasks. A round considers only as many tasks as it can place,
// and demands no more than that for the job.
TEST_F(RoundTest, PlacesHugeJobUpToCapacity) {
  auto huge = Spec("run-1", 100000);
  huge.priority = model::Priority::kUrgent;
  PutJob(job_table_, huge, 99);
  for (int i = 0; i < 50; ++i) AddMachine("vm-" + std::to_string(i));
  auto r = Plan();
  EXPECT_EQ(CountPlaced(r, "run-1"), 200U);
  EXPECT_EQ(r.placements.front().task.index, 0U);
  EXPECT_EQ(r.placements.back().task.index, 199U);
  EXPECT_EQ(r.waiting_tasks, 100000U);
}

}  // namespace
}  // namespace hallpier::plan
