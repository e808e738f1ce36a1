// Resources that are kept free for latency-sensitive job classes.
#include "plan/latency_reservation.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "model/job.h"
#include "round_fixture.h"

namespace hallpier::plan {
namespace {

using namespace testing_support;

class LatencyReservationTest : public RoundFixture {
 protected:
  const jobs::Job& PutUrgentJob(const std::string& id, uint32_t tasks) {
    model::JobSpec spec = Spec(id, tasks);
    spec.priority = model::Priority::kUrgent;
    PutJob(job_table_, spec);
    return *job_table_.Find(id);
  }
};

TEST_F(LatencyReservationTest, LearnsOnlyFromUrgentJobsWithImmediateStartObjective) {
  const double immediate_s = settings_.heartbeat_interval_s;
  settings_.objectives = {{"wait", "lane", 4 * immediate_s, 0.9}};
  LearnLatencySensitiveClass(context_, PutUrgentJob("run-1", 10));
  EXPECT_TRUE(context_.latency_sensitive_classes.empty())
      << "its objective allows its tasks to wait for resources";
  settings_.objectives = {{"wait", "lane", immediate_s, 0.9}};
  PutJob(job_table_, Spec("run-2", 10));
  LearnLatencySensitiveClass(context_, *job_table_.Find("run-2"));
  EXPECT_TRUE(context_.latency_sensitive_classes.empty()) << "not urgent";
  LearnLatencySensitiveClass(context_, *job_table_.Find("run-1"));
  ASSERT_TRUE(context_.latency_sensitive_classes.contains("lane"));
  EXPECT_EQ(context_.latency_sensitive_classes["lane"].need.cpus, 1);
  EXPECT_EQ(context_.latency_sensitive_classes["lane"].tasks, 10);
  LearnLatencySensitiveClass(context_, PutUrgentJob("run-3", 60));
  EXPECT_DOUBLE_EQ(context_.latency_sensitive_classes["lane"].tasks, 11)
      << "the average moves by 2 % of the difference of 50";
}

TEST_F(LatencyReservationTest, ReservesForFewJobsWithinConfiguredShare) {
  context_.latency_sensitive_classes["lane"] = {{1, 0, 1}, 1};
  operator_options_.urgent_reserve = 0.5;
  const std::vector<MachineAvailability> empty(1, {ResourceTimeline(Resources{8, 0, 100}), 0});
  auto machines = empty;
  ReserveForLatencySensitive(context_, 8, machines);
  EXPECT_EQ(machines[0].timeline.free_now().cpus, 5) << "three jobs of one task";
  context_.latency_sensitive_classes["lane"].tasks = 100;
  machines = empty;
  ReserveForLatencySensitive(context_, 8, machines);
  EXPECT_EQ(machines[0].timeline.free_now().cpus, 4) << "limited to half of all processors";
}

}  // namespace
}  // namespace hallpier::plan
