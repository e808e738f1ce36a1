// What is kept free for latency-sensitive job classes.
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

TEST_F(LatencyReservationTest, LearnsFromUrgentJobsOfClassesThatAreToStartAtOnce) {
  const double soon_s = settings_.heartbeat_interval_s;
  settings_.objectives = {{"wait", "lane", 4 * soon_s, 0.9}};
  LearnLatencySensitiveClass(context_, PutUrgentJob("run-1", 10));
  EXPECT_TRUE(context_.latency_sensitive_classes.empty()) << "its tasks may wait for a slot";
  settings_.objectives = {{"wait", "lane", soon_s, 0.9}};
  PutJob(job_table_, Spec("run-2", 10));
  LearnLatencySensitiveClass(context_, *job_table_.Find("run-2"));
  EXPECT_TRUE(context_.latency_sensitive_classes.empty()) << "not urgent";
  LearnLatencySensitiveClass(context_, *job_table_.Find("run-1"));
  ASSERT_TRUE(context_.latency_sensitive_classes.contains("lane"));
  EXPECT_EQ(context_.latency_sensitive_classes["lane"].need.cpus, 1);
  EXPECT_EQ(context_.latency_sensitive_classes["lane"].tasks, 10);
  LearnLatencySensitiveClass(context_, PutUrgentJob("run-3", 60));
  EXPECT_DOUBLE_EQ(context_.latency_sensitive_classes["lane"].tasks, 11) << "moved by 2 % of 50";
}

TEST_F(LatencyReservationTest, KeepsTheOperatorsShareFreeAndNoMoreThanAFewJobsTake) {
  context_.latency_sensitive_classes["lane"] = {{1, 0, 1}, 1};
  operators_.urgent_reserve = 0.5;
  const std::vector<MachineAvailability> empty(1, {ResourceTimeline(Resources{8, 0, 100}), 0});
  auto slots = empty;
  ReserveForLatencySensitive(context_, 8, slots);
  EXPECT_EQ(slots[0].timeline.free_now().cpus, 5) << "three jobs of one task";
  context_.latency_sensitive_classes["lane"].tasks = 100;
  slots = empty;
  ReserveForLatencySensitive(context_, 8, slots);
  EXPECT_EQ(slots[0].timeline.free_now().cpus, 4) << "half of all processors";
}

}  // namespace
}  // namespace hallpier::plan
