// Requests to stop attempts: which grace period applies, and when a request is fulfilled.
#include "fleet/stop_requests.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace hallpier::fleet {
namespace {

using namespace testing_support;

const model::TaskId kTask{"run-1", 0};

TEST(StopRequests, RequestAppliesToOneAttemptOnly) {
  StopRequests requests;
  requests.Add(kTask, 2, 5);
  EXPECT_TRUE(requests.Contains(kTask, 2));
  EXPECT_FALSE(requests.Contains(kTask, 3));
  requests.Add(kTask, 3, 8);
  EXPECT_FALSE(requests.Contains(kTask, 2));
  EXPECT_TRUE(requests.Contains(kTask, 3));
  EXPECT_EQ(requests.GraceSeconds(kTask), 8) << "another attempt has a separate grace period";
}

TEST(StopRequests, GracePeriodCanOnlyBeShortened) {
  StopRequests requests;
  requests.Add(kTask, 2, 5);
  requests.Add(kTask, 2, 9);
  EXPECT_EQ(requests.GraceSeconds(kTask), 5);
  requests.Add(kTask, 2, 0);
  EXPECT_EQ(requests.GraceSeconds(kTask), 0);
}

TEST(StopRequests, RequestIsDroppedOnceAttemptIsNoLongerRecorded) {
  jobs::JobTable job_table(64);
  PutJob(job_table, Spec("run-1", 4));
  PutOpenTask(job_table, "run-1", 0, 2, "vm-1");
  StopRequests requests;
  requests.Add(kTask, 2, 5);
  requests.DropFulfilled(job_table);
  EXPECT_TRUE(requests.Contains(kTask, 2)) << "it is still recorded as placed";
  PutOpenTask(job_table, "run-1", 0, 2, "");
  requests.DropFulfilled(job_table);
  EXPECT_FALSE(requests.Contains(kTask, 2));
  requests.Add({"run-9", 0}, 1, 5);
  requests.DropFulfilled(job_table);
  EXPECT_FALSE(requests.Contains({"run-9", 0}, 1)) << "its job is unknown";
}

}  // namespace
}  // namespace hallpier::fleet
