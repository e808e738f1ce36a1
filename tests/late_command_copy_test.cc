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

  async::Task<> Submit(std::string id, uint32_t tasks) {
    const bool ok =
        co_await AskUntil(0, "POST", "/submissions", SubmissionBody(Spec(id, tasks)), 201, "", 10);
    EXPECT_TRUE(ok) << id;
  }

  async::Task<> AwaitRunning(std::string id, int tasks) {
    const bool ok = co_await WaitFor(20, [&] { return cloud_->Running(id) == tasks; });
    EXPECT_TRUE(ok) << id << ": " << cloud_->Running(id);
  }

  // The first attempts fail and the tasks move. Copies of their start commands follow.
  async::Task<> MoveTasks() {
    co_await Submit("run-1", kTasks);
    co_await AwaitRunning("run-1", kTasks);
    co_await Pause(kAllCopiesS);
    EXPECT_EQ(cloud_->starts(), kTasks + failing_tasks_);
  }

  async::Task<> CancelTasks() {
    co_await Submit("run-1", kTasks);
    co_await AwaitRunning("run-1", kTasks);
    const bool ok =
        co_await AskUntil(1, "POST", "/submissions/run-1/withdraw", "{}", 200, "cancelled", 5);
    EXPECT_TRUE(ok);
    const int starts = cloud_->starts();
    co_await Pause(kAllCopiesS);
    EXPECT_EQ(cloud_->starts(), starts) << "started after the acknowledgement";
    EXPECT_EQ(cloud_->Running("run-1"), 0);
  }

  // All controllers end at once, and are back before the copies arrive.
  async::Task<> RestartControllersAndCancelTasks() {
    co_await Submit("run-1", kTasks);
    co_await AwaitRunning("run-1", kTasks);
    for (int node = 0; node < kNodes; ++node) co_await Restart(node, kNodes);
    bool ok =
        co_await AskUntil(1, "POST", "/submissions/run-1/withdraw", "{}", 200, "cancelled", 10);
    EXPECT_TRUE(ok);
    const int starts = cloud_->starts();
    co_await Pause(kAllCopiesS);
    EXPECT_EQ(cloud_->starts(), starts) << "started after the acknowledgement";
  }

 protected:
  static constexpr int kNodes = 3;
  static constexpr uint32_t kTasks = 12;
  static constexpr double kAllCopiesS = 5;  // until the last copy has arrived
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

TEST_F(LateCommandCopyTest, StartsNoTaskOfACancelledJob) {
  Start(kNodes);
  Run(CancelTasks());
}

TEST_F(LateCommandCopyTest, StartsNoTaskOfACancelledJobUnderANewLeader) {
  Start(kNodes);
  Run(RestartControllersAndCancelTasks());
  EXPECT_EQ(cloud_->duplicate_starts(), 0);
}

}  // namespace
}  // namespace hallpier
