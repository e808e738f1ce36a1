// The order in which a round serves jobs.
#include "plan/job_order.h"

#include <gtest/gtest.h>

#include "config/operator_options.h"
#include "fixtures.h"
#include "model/job.h"
#include "model/machine_type.h"

namespace hallpier::plan {
namespace {

using namespace testing_support;

constexpr double kNow = 1000;

class JobOrderTest : public testing::Test {
 protected:
  JobOrderTest() : settings_(TestSettings()), job_table_(64) {
    context_.settings = &settings_;
    context_.operator_options = &operator_options_;
    context_.machine_types = {MakeMachineType("c4", 4)};
  }
  const jobs::Job& Put(const std::string& id, model::Priority priority, double age) {
    model::JobSpec spec = Spec(id, 4);
    spec.priority = priority;
    PutJob(job_table_, spec, kNow - age);
    return *job_table_.Find(id);
  }
  int Tier(const jobs::Job& job, bool within_guarantee) {
    return JobOrder(context_, kNow).PriorityTier(job, within_guarantee);
  }

  config::Settings settings_;
  config::OperatorOptions operator_options_;
  jobs::JobTable job_table_;
  PlanningContext context_;
};

TEST_F(JobOrderTest, TierOrdersByPriorityThenGuarantee) {
  const int urgent_within_guarantee = Tier(Put("run-1", model::Priority::kUrgent, 0), true);
  const int urgent = Tier(Put("run-2", model::Priority::kUrgent, 0), false);
  const int normal_within_guarantee = Tier(Put("run-3", model::Priority::kNormal, 0), true);
  const int normal = Tier(Put("run-4", model::Priority::kNormal, 0), false);
  const int best_effort = Tier(Put("run-5", model::Priority::kBestEffort, 0), true);
  EXPECT_LT(urgent_within_guarantee, urgent);
  EXPECT_LT(urgent, normal_within_guarantee);
  EXPECT_LT(normal_within_guarantee, normal);
  EXPECT_LT(normal, best_effort);
}

TEST_F(JobOrderTest, OverdueGuaranteeComesBeforeAllJobsBeyondGuarantee) {
  const double boot_s = context_.machine_types[0].boot_s;
  EXPECT_EQ(LongestBootTime(context_), boot_s);
  const jobs::Job& overdue = Put("run-1", model::Priority::kBestEffort, boot_s + 1);
  EXPECT_LT(Tier(overdue, true), Tier(Put("run-2", model::Priority::kUrgent, 0), false));
  EXPECT_GT(Tier(overdue, true), Tier(Put("run-3", model::Priority::kUrgent, 0), true));
  EXPECT_GT(Tier(overdue, false), Tier(Put("run-4", model::Priority::kNormal, 0), false));
}

TEST_F(JobOrderTest, DefersJobThatMissedObjectiveForLimitedTime) {
  settings_.objectives = {{"finished", "lane", 100, 0.9}};
  const JobOrder order(context_, kNow);
  const int in_time = order.RemainingWorkBand(Put("run-1", model::Priority::kNormal, 10));
  EXPECT_GT(order.RemainingWorkBand(Put("run-2", model::Priority::kNormal, 120)), in_time);
  EXPECT_EQ(order.RemainingWorkBand(Put("run-3", model::Priority::kNormal, 301)), in_time);
}

}  // namespace
}  // namespace hallpier::plan
