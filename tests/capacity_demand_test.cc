// The demand of waiting tasks for new machines.
#include "plan/capacity_demand.h"

#include <gtest/gtest.h>

#include <vector>

#include "config/settings.h"
#include "fixtures.h"
#include "jobs/job_table.h"
#include "model/machine_type.h"

namespace hallpier::plan {
namespace {

using namespace testing_support;

TEST(CapacityDemand, SortsSuitableTypesByPricePerTask) {
  std::vector<model::MachineType> types = {MakeMachineType("c2", 2), MakeMachineType("c8", 8),
                                           MakeMachineType("c16", 16)};
  types[0].spot_price = 0.1;
  types[1].spot_price = 0.3;
  types[2].spot_price = 1.0;
  const auto demand = DemandFor(Spec("run-1", 10, 4), 7, types);
  ASSERT_TRUE(demand);
  ASSERT_EQ(demand->choices.size(), 2U) << "a task does not fit on two processors";
  EXPECT_EQ(demand->choices[0].machine_type, "c8");
  EXPECT_EQ(demand->choices[0].tasks_per_machine, 2U);
  EXPECT_EQ(demand->choices[1].tasks_per_machine, 4U);
  EXPECT_EQ(demand->tasks, 7U);
  EXPECT_FALSE(DemandFor(Spec("run-2", 10, 32), 7, types));
}

TEST(CapacityDemand, ShortfallIsShareOfWorkNotCompletedInTime) {
  EXPECT_EQ(ShortfallShare(0, 4, 30), 0);
  EXPECT_EQ(ShortfallShare(100, 4, 30), 0);
  EXPECT_DOUBLE_EQ(ShortfallShare(240, 4, 30), 0.5);
}

TEST(CapacityDemand, UnmappedJobsDemandOnlyWorkThatMachinesCannotCompleteInTime) {
  const config::Settings settings = TestSettings();
  PlanningContext context;
  context.settings = &settings;
  context.machine_types = {MakeMachineType("c4", 4)};
  jobs::JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 5));
  PutJob(job_table, Spec("run-2", 24));
  JobQueue queue;
  queue.jobs = {{job_table.Find("run-1"), false, 0, 5}, {job_table.Find("run-2"), false, 1, 24}};
  ASSERT_EQ(LongestBootTime(context), 30);
  // 24 tasks take 10 s each; four processors complete 120 s of work while a machine boots.
  const auto demands = DemandForUnmapped(queue, 1, context, 4);
  ASSERT_EQ(demands.size(), 1U);
  EXPECT_EQ(demands[0].tasks, 12U);
  EXPECT_TRUE(DemandForUnmapped(queue, 1, context, 8).empty());
  EXPECT_TRUE(DemandForUnmapped(queue, 2, context, 0).empty());
}

}  // namespace
}  // namespace hallpier::plan
