// When the rest of a round is decided anew (controller/replan_policy.h).
#include "controller/replan_policy.h"

#include <gtest/gtest.h>

namespace hallpier::controller {
namespace {

constexpr double kInterval = 10;

jobs::Transaction Ranked(jobs::WritePriority rank) {
  jobs::Transaction transaction;
  transaction.priority = rank;
  return transaction;
}

TEST(ReplanPolicy, UrgentWorkGoesBeforeAllButUrgentStartsAndEnds) {
  ReplanPolicy policy(kInterval);
  const jobs::Transaction start = Ranked(jobs::WritePriority::kPlacement);
  EXPECT_FALSE(policy.ShouldReplan(start, true, 100));
  policy.OnUrgentWork();
  EXPECT_TRUE(policy.ShouldReplan(start, false, 100));
  EXPECT_TRUE(policy.ShouldReplan(Ranked(jobs::WritePriority::kTaskEnd), false, 100));
  EXPECT_FALSE(policy.ShouldReplan(Ranked(jobs::WritePriority::kUrgentPlacement), true, 100));
  EXPECT_FALSE(policy.ShouldReplan(Ranked(jobs::WritePriority::kJobEnd), true, 100));
  policy.OnRoundStarted();
  EXPECT_FALSE(policy.ShouldReplan(start, true, 100)) << "the round has considered it";
}

TEST(ReplanPolicy, BackgroundWritesYieldToNewWorkButForOneInEachInterval) {
  ReplanPolicy policy(kInterval);
  for (const auto rank : {jobs::WritePriority::kCleanup, jobs::WritePriority::kTaskEnd}) {
    const jobs::Transaction background = Ranked(rank);
    const double now = rank == jobs::WritePriority::kCleanup ? 100 : 200;
    EXPECT_FALSE(policy.ShouldReplan(background, true, now)) << "none for a long time";
    EXPECT_TRUE(policy.ShouldReplan(background, true, now + 1));
    EXPECT_TRUE(policy.ShouldReplan(background, true, now + kInterval - 0.5));
    EXPECT_FALSE(policy.ShouldReplan(background, true, now + kInterval));
  }
}

TEST(ReplanPolicy, BackgroundWritesAreSentWhileNothingIsNew) {
  ReplanPolicy policy(kInterval);
  const jobs::Transaction background = Ranked(jobs::WritePriority::kCleanup);
  EXPECT_FALSE(policy.ShouldReplan(background, false, 100));
  EXPECT_FALSE(policy.ShouldReplan(background, false, 100.1));
  EXPECT_TRUE(policy.ShouldReplan(background, true, 100.2)) << "they count for the interval";
}

}  // namespace
}  // namespace hallpier::controller
