// Decisions to drop the remaining transactions of a round in favour of a new round.
#include "controller/replan_policy.h"

#include <gtest/gtest.h>

namespace hallpier::controller {
namespace {

constexpr double kBackgroundIntervalS = 10;

jobs::Transaction MakeTransaction(jobs::WritePriority priority) {
  jobs::Transaction transaction;
  transaction.priority = priority;
  return transaction;
}

TEST(ReplanPolicy, UrgentWorkReplansUnlessUrgentPlacementOrJobEndIsNext) {
  ReplanPolicy policy(kBackgroundIntervalS);
  const jobs::Transaction start = MakeTransaction(jobs::WritePriority::kPlacement);
  EXPECT_FALSE(policy.ShouldReplan(start, true, 100));
  policy.OnUrgentWork();
  EXPECT_TRUE(policy.ShouldReplan(start, false, 100));
  EXPECT_TRUE(policy.ShouldReplan(MakeTransaction(jobs::WritePriority::kTaskEnd), false, 100));
  EXPECT_FALSE(
      policy.ShouldReplan(MakeTransaction(jobs::WritePriority::kUrgentPlacement), true, 100));
  EXPECT_FALSE(policy.ShouldReplan(MakeTransaction(jobs::WritePriority::kJobEnd), true, 100));
  policy.OnRoundStarted();
  EXPECT_FALSE(policy.ShouldReplan(start, true, 100)) << "the round has considered it";
}

TEST(ReplanPolicy, NewWorkDropsBackgroundWritesExceptOnePerInterval) {
  ReplanPolicy policy(kBackgroundIntervalS);
  for (const auto priority : {jobs::WritePriority::kCleanup, jobs::WritePriority::kTaskEnd}) {
    const jobs::Transaction background = MakeTransaction(priority);
    const double now = priority == jobs::WritePriority::kCleanup ? 100 : 200;
    EXPECT_FALSE(policy.ShouldReplan(background, true, now)) << "none was sent for a long time";
    EXPECT_TRUE(policy.ShouldReplan(background, true, now + 1));
    EXPECT_TRUE(policy.ShouldReplan(background, true, now + kBackgroundIntervalS - 0.5));
    EXPECT_FALSE(policy.ShouldReplan(background, true, now + kBackgroundIntervalS));
  }
}

TEST(ReplanPolicy, SendsBackgroundWritesWithoutNewWork) {
  ReplanPolicy policy(kBackgroundIntervalS);
  const jobs::Transaction background = MakeTransaction(jobs::WritePriority::kCleanup);
  EXPECT_FALSE(policy.ShouldReplan(background, false, 100));
  EXPECT_FALSE(policy.ShouldReplan(background, false, 100.1));
  EXPECT_TRUE(policy.ShouldReplan(background, true, 100.2))
      << "the writes sent before count toward the interval";
}

}  // namespace
}  // namespace hallpier::controller
