// Guards against a task that runs on two machines, or after its cancellation, because a copy of a
// direct command that the worker has executed and answered arrives once more.
#include <algorithm>
#include <string>
#include <vector>

#include "end_to_end.h"

namespace hallpier {
namespace {

using namespace testing_support;

class LateCommandCopyTest : public EndToEndTest {
 public:
  LateCommandCopyTest() {
    run_s_ = 30;
    command_copy_delays_s_ = {0.5, 1, 2, 3, 4};
  }

  async::Task<> StartTasks() {
    bool ok = co_await AskUntil(0, "POST", "/submissions", SubmissionBody(Spec("run-1", kTasks)),
                                201, "", 10);
    EXPECT_TRUE(ok);
    ok = co_await WaitFor(20, [&] { return cloud_->Running("run-1") == kTasks; });
    EXPECT_TRUE(ok) << cloud_->Running("run-1");
  }

  // All controllers end one after the other, and each is back at once.
  async::Task<> RestartControllers() {
    for (int node = 0; node < kNodes; ++node) co_await Restart(node, kNodes);
  }

  async::Task<> ExpectNoFurtherStarts() {
    const int starts = cloud_->starts();
    co_await Pause(kAllCopiesS);
    EXPECT_EQ(cloud_->starts(), starts);
  }

  async::Task<> Cancel() {
    const bool ok =
        co_await AskUntil(1, "POST", "/submissions/run-1/withdraw", "{}", 200, "cancelled", 10);
    EXPECT_TRUE(ok);
  }

  async::Task<> MoveTasks() {
    co_await StartTasks();
    EXPECT_EQ(cloud_->starts(), kTasks + failing_tasks_);
    co_await ExpectNoFurtherStarts();
  }

  async::Task<> MoveTasksAndRestartControllers() {
    co_await StartTasks();
    co_await RestartControllers();
    co_await ExpectNoFurtherStarts();
  }

  async::Task<> CancelTasks() {
    co_await StartTasks();
    co_await Cancel();
    co_await ExpectNoFurtherStarts();
    EXPECT_EQ(cloud_->Running("run-1"), 0);
  }

  async::Task<> RestartControllersAndCancelTasks() {
    co_await StartTasks();
    co_await RestartControllers();
    co_await Cancel();
    co_await ExpectNoFurtherStarts();
  }

  // The recorded attempts start again in the new agent epochs, before the copies arrive.
  async::Task<> RestartMachinesAndCancelTasks() {
    co_await StartTasks();
    cloud_->RestartMachines();
    const bool ok = co_await WaitFor(5, [&] { return cloud_->Running("run-1") == kTasks; });
    EXPECT_TRUE(ok) << cloud_->Running("run-1");
    co_await Cancel();
    co_await ExpectNoFurtherStarts();
  }

  async::Task<> CutMachinesWhileCancelling() {
    co_await StartTasks();
    cloud_->CutMachines(true);
    co_await Cancel();
    co_await Pause(kMachineCutS);
    cloud_->CutMachines(false);
    co_await ExpectNoFurtherStarts();
    EXPECT_EQ(cloud_->Running("run-1"), 0);
  }

 protected:
  static constexpr int kNodes = 3;
  static constexpr uint32_t kTasks = 12;
  static constexpr double kAllCopiesS = 5;  // until the last copy has arrived
  static constexpr double kMachineCutS = 0.7;
};

class CopyOfMovedTasksStartTest : public LateCommandCopyTest {
 public:
  CopyOfMovedTasksStartTest() { failing_tasks_ = 4; }
};

TEST_F(CopyOfMovedTasksStartTest, StartsNoTaskOnItsFormerMachine) {
  Start(kNodes);
  Run(MoveTasks());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(CopyOfMovedTasksStartTest, StartsNoTaskOnItsFormerMachineUnderANewLeader) {
  Start(kNodes);
  Run(MoveTasksAndRestartControllers());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(LateCommandCopyTest, StartsNoTaskOfACancelledJob) {
  Start(kNodes);
  Run(CancelTasks());
}

TEST_F(LateCommandCopyTest, StartsNoTaskOfACancelledJobUnderANewLeader) {
  Start(kNodes);
  Run(RestartControllersAndCancelTasks());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(LateCommandCopyTest, StartsNoTaskOfACancelledJobOnMachinesThatAreBackAtOnce) {
  Start(kNodes);
  Run(RestartMachinesAndCancelTasks());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

TEST_F(LateCommandCopyTest, StartsNoTaskOfACancelledJobOnMachinesThatWereCutOff) {
  operator_options_.silent_ratio = 200;  // the leader stays, and so does its token
  Start(kNodes);
  Run(CutMachinesWhileCancelling());
}

}  // namespace
}  // namespace hallpier
