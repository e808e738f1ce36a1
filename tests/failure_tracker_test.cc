// Attribution of failures to jobs or machines, and the backoff of jobs that fail everywhere.
#include "fleet/failure_tracker.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace hallpier::fleet {
namespace {

using namespace testing_support;

constexpr double kInitialBackoffS = 3;
constexpr double kMaxBackoffS = 30;
constexpr double kQuarantineS = 30;
constexpr size_t kMachines = 10;

class FailureTrackerTest : public testing::Test {
 protected:
  FailureTrackerTest()
      : job_table_(64), tracker_({kInitialBackoffS, kMaxBackoffS, kQuarantineS, 0.5}) {
    for (const char* id : {"run-1", "run-2", "run-3"}) PutJob(job_table_, Spec(id, 8));
  }

  void FailOnMachines(const std::string& job, int machines, double now) {
    for (int i = 0; i < machines; ++i) tracker_.OnFailure(job, "vm-" + std::to_string(i), now);
    tracker_.Reconcile(job_table_, kMachines);
  }

  jobs::JobTable job_table_;
  FailureTracker tracker_;
};

TEST_F(FailureTrackerTest, SuspectsJobThatFailsEverywhereAndNotItsMachines) {
  FailOnMachines("run-1", 2, 1);
  EXPECT_FALSE(tracker_.IsSuspected("run-1")) << "two machines may both be faulty";
  FailOnMachines("run-1", 3, 1);
  EXPECT_TRUE(tracker_.IsSuspected("run-1"));
  EXPECT_TRUE(tracker_.FaultyMachines().empty());
  EXPECT_FALSE(tracker_.IsQuarantined("vm-0", 1));
}

TEST_F(FailureTrackerTest, SuspectsJobThatFailsOnAllMachinesOfSmallCluster) {
  tracker_.OnFailure("run-1", "vm-0", 1);
  tracker_.Reconcile(job_table_, 1);
  EXPECT_TRUE(tracker_.IsSuspected("run-1"));
}

// A sound job whose tasks were spread over many machines must not be throttled because a few of
// these machines are faulty.
TEST_F(FailureTrackerTest, DoesNotSuspectJobThatRunsOnMoreMachinesThanItFailedOn) {
  for (uint32_t i = 0; i < 4; ++i)
    PutOpenTask(job_table_, "run-1", i, 1, "vm-" + std::to_string(5 + i));
  FailOnMachines("run-1", 3, 1);
  EXPECT_FALSE(tracker_.IsSuspected("run-1"));
  for (int i = 5; i < 9; ++i) tracker_.OnFailure("run-1", "vm-" + std::to_string(i), 2);
  tracker_.Reconcile(job_table_, kMachines);
  EXPECT_TRUE(tracker_.IsSuspected("run-1"));
}

TEST_F(FailureTrackerTest, MachineIsFaultyIfItsFailedJobsSucceedElsewhere) {
  tracker_.OnFailure("run-1", "vm-0", 1);
  tracker_.OnFailure("run-2", "vm-0", 1);
  tracker_.Reconcile(job_table_, kMachines);
  EXPECT_TRUE(tracker_.IsQuarantined("vm-0", 2))
      << "it may be faulty and gets no new tasks until that is known";
  EXPECT_TRUE(tracker_.FaultyMachines().empty());
  tracker_.OnSuccess("run-1", "vm-1");
  EXPECT_TRUE(tracker_.FaultyMachines().empty()) << "a single failure proves nothing";
  tracker_.OnSuccess("run-2", "vm-1");
  EXPECT_EQ(tracker_.FaultyMachines(), std::vector<std::string>{"vm-0"});
}

TEST_F(FailureTrackerTest, SuccessOnMachineEndsItsQuarantine) {
  tracker_.OnFailure("run-1", "vm-0", 1);
  tracker_.OnFailure("run-2", "vm-0", 1);
  tracker_.OnSuccess("run-1", "vm-0");
  EXPECT_FALSE(tracker_.IsQuarantined("vm-0", 2));
}

TEST_F(FailureTrackerTest, QuarantineExpires) {
  tracker_.OnFailure("run-1", "vm-0", 1);
  tracker_.OnFailure("run-2", "vm-0", 2);
  EXPECT_TRUE(tracker_.IsQuarantined("vm-0", 2 + 0.9 * kQuarantineS));
  EXPECT_FALSE(tracker_.IsQuarantined("vm-0", 2 + kQuarantineS));
}

// Two broken jobs fail on the same machines while a sound job shows that one of these machines is
// faulty.
TEST_F(FailureTrackerTest, DistinguishesFaultyMachineFromBrokenJobs) {
  FailOnMachines("run-1", 5, 1);
  FailOnMachines("run-2", 5, 1);
  tracker_.OnFailure("run-3", "vm-0", 1);
  tracker_.OnFailure("run-3", "vm-0", 1);
  tracker_.OnSuccess("run-3", "vm-1");
  tracker_.Reconcile(job_table_, kMachines);
  EXPECT_EQ(tracker_.FaultyMachines(), std::vector<std::string>{"vm-0"});
  for (int i = 1; i < 5; ++i)
    EXPECT_FALSE(tracker_.IsQuarantined("vm-" + std::to_string(i), 1)) << i;
  EXPECT_TRUE(tracker_.IsSuspected("run-1"));
  EXPECT_TRUE(tracker_.IsSuspected("run-2"));
  EXPECT_FALSE(tracker_.IsSuspected("run-3"));
}

TEST_F(FailureTrackerTest, BackoffDoublesUpToMaximum) {
  FailOnMachines("run-1", 3, 0);
  EXPECT_FALSE(tracker_.IsRetryDue("run-1", 0.9 * kInitialBackoffS));
  double now = kInitialBackoffS;
  for (double expected : {6.0, 12.0, 24.0, kMaxBackoffS, kMaxBackoffS}) {
    ASSERT_TRUE(tracker_.IsRetryDue("run-1", now));
    tracker_.OnRetry("run-1", now);
    tracker_.OnFailure("run-1", "vm-0", now + 1);
    EXPECT_FALSE(tracker_.IsRetryDue("run-1", now + 0.99 * expected));
    EXPECT_TRUE(tracker_.IsRetryDue("run-1", now + 1 + expected))
        << "the backoff counts from the failure";
    now += 1 + expected;
  }
}

TEST_F(FailureTrackerTest, SuccessEndsBackoffAndAttributesFailuresToMachines) {
  FailOnMachines("run-1", 3, 0);
  FailOnMachines("run-2", 3, 0);
  tracker_.OnRetry("run-1", 3);
  tracker_.OnSuccess("run-1", "vm-7");
  EXPECT_FALSE(tracker_.IsSuspected("run-1"));
  EXPECT_TRUE(tracker_.IsRetryDue("run-1", 3));
  EXPECT_TRUE(tracker_.FaultyMachines().empty()) << "one failure per machine so far";
  tracker_.OnSuccess("run-2", "vm-7");
  EXPECT_EQ(tracker_.FaultyMachines().size(), 3U);
}

// A new leader has observed no success, but a recorded completion shows that the job is sound.
TEST_F(FailureTrackerTest, JobWithRecordedCompletionIsNotSuspected) {
  store::TaskGroup task_group;
  task_group.done.Insert(0);
  PutTaskGroup(job_table_, "run-1", 0, task_group);
  FailOnMachines("run-1", 4, 1);
  EXPECT_FALSE(tracker_.IsSuspected("run-1"));
}

TEST_F(FailureTrackerTest, LimitsRateOfAllRetriesTogether) {
  for (const char* id : {"run-1", "run-2", "run-3"}) FailOnMachines(id, 3, 0);
  size_t started = 0;
  for (double now = 100; now < 200; now += 0.5) {
    for (size_t n = tracker_.AvailableRetries(now); n > 0; --n, ++started)
      tracker_.OnRetry("run-1", now);
  }
  EXPECT_GE(started, 50U);
  EXPECT_LE(started, 54U) << "0.5 per second, and a burst of four";
}

TEST_F(FailureTrackerTest, DiscardsFailuresOfEndedJobs) {
  tracker_.OnFailure("run-1", "vm-0", 1);
  tracker_.OnFailure("run-2", "vm-0", 1);
  job_table_.Apply(store::ParseKey(store::JobKey("run-1")), "");
  tracker_.Reconcile(job_table_, kMachines);
  EXPECT_FALSE(tracker_.IsQuarantined("vm-0", 2));
  EXPECT_EQ(tracker_.FailedOn("run-1"), nullptr);
}

}  // namespace
}  // namespace hallpier::fleet
