// Guards against a record that goes back, or a deleted one that returns, because a copy of a
// transaction that was executed and answered is executed once more.
#include <string>

#include "end_to_end.h"

namespace hallpier {
namespace {

using namespace testing_support;

class LateTransactionCopyTest : public EndToEndTest {
 public:
  LateTransactionCopyTest() { run_s_ = 0.5; }

  async::Task<> Submit(model::JobSpec spec) {
    const bool ok = co_await AskUntil(1, "POST", "/submissions", SubmissionBody(spec), 201, "", 10);
    EXPECT_TRUE(ok) << spec.id;
  }
  async::Task<> ExpectPhase(std::string id, std::string phase) {
    const bool ok = co_await AskUntil(2, "GET", "/submissions/" + id, "", 200, phase, 20);
    EXPECT_TRUE(ok) << id;
  }

  // Jobs that end, await each other, fail at first and are cancelled, and a change of the leader.
  async::Task<> RunJobsWhileTransactionsRepeat() {
    state_->RepeatTransactions(kCopyDelayS);
    co_await Submit(Spec("run-1", 12));
    model::JobSpec dependent = Spec("run-2", 2);
    dependent.dependencies = {"run-1"};
    co_await Submit(dependent);
    co_await Submit(Spec("run-3", 4));
    const wire::HttpResponse response =
        co_await Ask(1, "POST", "/submissions/run-3/withdraw", "{}");
    EXPECT_EQ(response.status, 200);
    co_await ExpectPhase("run-2", "done");
    co_await Restart(0, kNodes);
    co_await Submit(Spec("run-4", 4));
    co_await ExpectPhase("run-4", "done");
    co_await ExpectPhase("run-3", "cancelled");
    co_await Pause(2 * kCopyDelayS);
    EXPECT_GT(state_->copies(), 10);
    EXPECT_EQ(testing::PrintToString(state_->executed_copies()), "{}");
  }

 protected:
  static constexpr int kNodes = 3;
  static constexpr double kCopyDelayS = 1;
};

class BlocksTransactionCopyTest : public LateTransactionCopyTest {
 public:
  BlocksTransactionCopyTest() {
    operator_options_.membership.enabled = true;
    operator_options_.blocks.enabled = true;
  }
};

TEST_F(LateTransactionCopyTest, ChangesNoRecord) {
  failing_tasks_ = 2;
  Start(kNodes);
  Run(RunJobsWhileTransactionsRepeat());
}

TEST_F(BlocksTransactionCopyTest, ChangesNoRecord) {
  Start(kNodes);
  Run(RunJobsWhileTransactionsRepeat());
}

}  // namespace
}  // namespace hallpier
