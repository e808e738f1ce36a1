// Whose fault a failure is, and how the retries of jobs that fail everywhere are spaced.
#include "fleet/failure_tracker.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace hallpier::fleet {
namespace {

using namespace testing_support;

constexpr double kBackoff = 3;
constexpr double kMaxBackoff = 30;
constexpr double kQuarantine = 30;
constexpr size_t kMachines = 10;

class FailureTrackerTest : public testing::Test {
 protected:
  FailureTrackerTest() : job_table_(64), tracker_({kBackoff, kMaxBackoff, kQuarantine, 0.5}) {
    for (const char* id : {"run-1", "run-2", "run-3"}) PutJob(job_table_, Spec(id, 8));
  }

  void FailOn(const std::string& job, int machines, double now) {
    for (int i = 0; i < machines; ++i) tracker_.OnFailure(job, "vm-" + std::to_string(i), now);
    tracker_.Reconcile(job_table_, kMachines);
  }

  jobs::JobTable job_table_;
  FailureTracker tracker_;
};

TEST_F(FailureTrackerTest, AJobThatFailsEverywhereIsSuspectedAndItsMachinesAreNot) {
  FailOn("run-1", 2, 1);
  EXPECT_FALSE(tracker_.IsSuspected("run-1")) << "two machines may both be faulty";
  FailOn("run-1", 3, 1);
  EXPECT_TRUE(tracker_.IsSuspected("run-1"));
  EXPECT_TRUE(tracker_.FaultyMachines().empty());
  EXPECT_FALSE(tracker_.IsQuarantined("vm-0", 1));
}

TEST_F(FailureTrackerTest, OnASmallSiteAllMachinesAreEnough) {
  tracker_.OnFailure("run-1", "vm-0", 1);
  tracker_.Reconcile(job_table_, 1);
  EXPECT_TRUE(tracker_.IsSuspected("run-1"));
}

// A sound job whose tasks were spread over many machines must not be held back by the few of them
// that are faulty.
TEST_F(FailureTrackerTest, AJobThatRunsOnMoreMachinesThanItFailedOnIsNotSuspected) {
  for (uint32_t i = 0; i < 4; ++i) Place(job_table_, "run-1", i, 1, "vm-" + std::to_string(5 + i));
  FailOn("run-1", 3, 1);
  EXPECT_FALSE(tracker_.IsSuspected("run-1"));
  for (int i = 5; i < 9; ++i) tracker_.OnFailure("run-1", "vm-" + std::to_string(i), 2);
  tracker_.Reconcile(job_table_, kMachines);
  EXPECT_TRUE(tracker_.IsSuspected("run-1"));
}

TEST_F(FailureTrackerTest, JobsThatSucceedElsewhereCondemnTheMachine) {
  tracker_.OnFailure("run-1", "vm-0", 1);
  tracker_.OnFailure("run-2", "vm-0", 1);
  tracker_.Reconcile(job_table_, kMachines);
  EXPECT_TRUE(tracker_.IsQuarantined("vm-0", 2))
      << "it may be faulty: nothing new until that is known";
  EXPECT_TRUE(tracker_.FaultyMachines().empty());
  tracker_.OnSuccess("run-1", "vm-1");
  EXPECT_TRUE(tracker_.FaultyMachines().empty()) << "one failure happens";
  tracker_.OnSuccess("run-2", "vm-1");
  EXPECT_EQ(tracker_.FaultyMachines(), std::vector<std::string>{"vm-0"});
}

TEST_F(FailureTrackerTest, ASuccessOnTheMachineItselfClearsIt) {
  tracker_.OnFailure("run-1", "vm-0", 1);
  tracker_.OnFailure("run-2", "vm-0", 1);
  tracker_.OnSuccess("run-1", "vm-0");
  EXPECT_FALSE(tracker_.IsQuarantined("vm-0", 2));
}

TEST_F(FailureTrackerTest, ASuspensionEnds) {
  tracker_.OnFailure("run-1", "vm-0", 1);
  tracker_.OnFailure("run-2", "vm-0", 2);
  EXPECT_TRUE(tracker_.IsQuarantined("vm-0", 2 + 0.9 * kQuarantine));
  EXPECT_FALSE(tracker_.IsQuarantined("vm-0", 2 + kQuarantine));
}

// Two broken jobs pass through the same machines while a third shows that one of these is faulty.
TEST_F(FailureTrackerTest, AFaultyMachineAndBrokenJobsAtOnceComeOutRight) {
  FailOn("run-1", 5, 1);
  FailOn("run-2", 5, 1);
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

TEST_F(FailureTrackerTest, RetriesBackOffUpToTheBound) {
  FailOn("run-1", 3, 0);
  EXPECT_FALSE(tracker_.IsRetryDue("run-1", 0.9 * kBackoff));
  double now = kBackoff;
  for (double expected : {6.0, 12.0, 24.0, kMaxBackoff, kMaxBackoff}) {
    ASSERT_TRUE(tracker_.IsRetryDue("run-1", now));
    tracker_.OnRetry("run-1", now);
    tracker_.OnFailure("run-1", "vm-0", now + 1);
    EXPECT_FALSE(tracker_.IsRetryDue("run-1", now + 0.99 * expected));
    EXPECT_TRUE(tracker_.IsRetryDue("run-1", now + 1 + expected)) << "counted from the failure";
    now += 1 + expected;
  }
}

TEST_F(FailureTrackerTest, ASuccessBringsTheJobBackToFullSpeedAndTheBlameToTheMachines) {
  FailOn("run-1", 3, 0);
  FailOn("run-2", 3, 0);
  tracker_.OnRetry("run-1", 3);
  tracker_.OnSuccess("run-1", "vm-7");
  EXPECT_FALSE(tracker_.IsSuspected("run-1"));
  EXPECT_TRUE(tracker_.IsRetryDue("run-1", 3));
  EXPECT_TRUE(tracker_.FaultyMachines().empty()) << "one failure each so far";
  tracker_.OnSuccess("run-2", "vm-7");
  EXPECT_EQ(tracker_.FaultyMachines().size(), 3U);
}

// Whoever leads next has seen none of it: what is recorded as done says that the job is sound.
TEST_F(FailureTrackerTest, ARecordedSuccessCounts) {
  store::TaskGroup task_group;
  task_group.done.Insert(0);
  PutTaskGroup(job_table_, "run-1", 0, task_group);
  FailOn("run-1", 4, 1);
  EXPECT_FALSE(tracker_.IsSuspected("run-1"));
}

TEST_F(FailureTrackerTest, AllRetriesTogetherAreBounded) {
  for (const char* id : {"run-1", "run-2", "run-3"}) FailOn(id, 3, 0);
  size_t started = 0;
  for (double now = 100; now < 200; now += 0.5) {
    for (size_t n = tracker_.AvailableRetries(now); n > 0; --n, ++started)
      tracker_.OnRetry("run-1", now);
  }
  EXPECT_GE(started, 50U);
  EXPECT_LE(started, 54U) << "0.5 a second, and a burst of four";
}

TEST_F(FailureTrackerTest, JobsThatHaveEndedAreForgotten) {
  tracker_.OnFailure("run-1", "vm-0", 1);
  tracker_.OnFailure("run-2", "vm-0", 1);
  job_table_.Apply(store::ParseKey(store::JobKey("run-1")), "");
  tracker_.Reconcile(job_table_, kMachines);
  EXPECT_FALSE(tracker_.IsQuarantined("vm-0", 2));
  EXPECT_EQ(tracker_.FailedOn("run-1"), nullptr);
}

}  // namespace
}  // namespace hallpier::fleet
