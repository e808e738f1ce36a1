// How long the service waits for a machine that is not up yet.
#include "fleet/boot_times.h"

#include <gtest/gtest.h>

namespace hallpier::fleet {
namespace {

constexpr double kNominal = 40;

TEST(BootTimes, TheNominalTimeCountsUntilBootsWereObserved) {
  BootTimes boots;
  EXPECT_EQ(boots.Expected("c4", kNominal), kNominal);
  EXPECT_EQ(boots.LateThreshold("c4", kNominal), 2 * kNominal);
  EXPECT_DOUBLE_EQ(boots.Deadline("c4", kNominal, 1, 0), 4 * kNominal);
  for (int i = 0; i < 4; ++i) boots.OnBooted("c4", 100, 0);
  EXPECT_EQ(boots.Expected("c4", kNominal), kNominal) << "too few";
}

TEST(BootTimes, SlowBootsRaiseTheDeadlineOfTheirTypeOnly) {
  BootTimes boots;
  for (int i = 1; i <= 100; ++i) boots.OnBooted("c4", 2 * i, 0);
  EXPECT_EQ(boots.Expected("c4", kNominal), 100);
  EXPECT_EQ(boots.LateThreshold("c4", kNominal), 180);
  EXPECT_DOUBLE_EQ(boots.Deadline("c4", kNominal, 1, 0), 1.3 * 180);
  EXPECT_EQ(boots.LateThreshold("c8", kNominal), 2 * kNominal);
}

TEST(BootTimes, QuickBootsDontLowerTheDeadline) {
  BootTimes boots;
  for (int i = 0; i < 100; ++i) boots.OnBooted("c4", 1, 0);
  EXPECT_EQ(boots.Expected("c4", kNominal), 1);
  EXPECT_EQ(boots.LateThreshold("c4", kNominal), 2 * kNominal);
}

// A thousand machines that took four times as long were all returned just before they came up, and
// rented once more.
TEST(BootTimes, WhereMostAreLateTheyAreWaitedForLonger) {
  BootTimes boots;
  const double usual = 4 * kNominal;
  const double slow = 8 * kNominal;
  for (int i = 0; i < 10; ++i) boots.OnBooted("c4", kNominal, 0);
  EXPECT_DOUBLE_EQ(boots.Deadline("c4", kNominal, 10, 0), usual) << "as many came up";
  EXPECT_DOUBLE_EQ(boots.Deadline("c4", kNominal, 11, 0), slow);
  EXPECT_DOUBLE_EQ(boots.Deadline("c4", kNominal, 3, slow + 1), slow) << "none came up lately";
  EXPECT_DOUBLE_EQ(boots.Deadline("c4", kNominal, 2, slow + 1), usual) << "two are just dead";
}

TEST(BootTimes, OldBootsAreForgotten) {
  BootTimes boots;
  for (int i = 0; i < 1000; ++i) boots.OnBooted("c4", 400, 0);
  for (int i = 0; i < 1000; ++i) boots.OnBooted("c4", kNominal, 1);
  EXPECT_EQ(boots.LateThreshold("c4", kNominal), 2 * kNominal);
}

}  // namespace
}  // namespace hallpier::fleet
