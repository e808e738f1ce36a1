// Expected boot times and the deadlines for booting machines.
#include "fleet/boot_times.h"

#include <gtest/gtest.h>

namespace hallpier::fleet {
namespace {

constexpr double kNominalBootS = 40;

TEST(BootTimes, UsesNominalTimeUntilEnoughBootsAreObserved) {
  BootTimes boots;
  EXPECT_EQ(boots.Expected("c4", kNominalBootS), kNominalBootS);
  EXPECT_EQ(boots.LateThreshold("c4", kNominalBootS), 2 * kNominalBootS);
  EXPECT_DOUBLE_EQ(boots.Deadline("c4", kNominalBootS, 1, 0), 4 * kNominalBootS);
  for (int i = 0; i < 4; ++i) boots.OnBooted("c4", 100, 0);
  EXPECT_EQ(boots.Expected("c4", kNominalBootS), kNominalBootS) << "too few observed boots";
}

TEST(BootTimes, SlowBootsRaiseDeadlineOfTheirTypeOnly) {
  BootTimes boots;
  for (int i = 1; i <= 100; ++i) boots.OnBooted("c4", 2 * i, 0);
  EXPECT_EQ(boots.Expected("c4", kNominalBootS), 100);
  EXPECT_EQ(boots.LateThreshold("c4", kNominalBootS), 180);
  EXPECT_DOUBLE_EQ(boots.Deadline("c4", kNominalBootS, 1, 0), 1.3 * 180);
  EXPECT_EQ(boots.LateThreshold("c8", kNominalBootS), 2 * kNominalBootS);
}

TEST(BootTimes, FastBootsDoNotLowerDeadline) {
  BootTimes boots;
  for (int i = 0; i < 100; ++i) boots.OnBooted("c4", 1, 0);
  EXPECT_EQ(boots.Expected("c4", kNominalBootS), 1);
  EXPECT_EQ(boots.LateThreshold("c4", kNominalBootS), 2 * kNominalBootS);
}

// Guards against terminating slow machines that are about to report: a thousand machines that took
// four times as long to boot were all terminated just before they came up, and requested again.
TEST(BootTimes, ExtendsDeadlineWhenMoreMachinesAreLateThanBooted) {
  BootTimes boots;
  const double usual_deadline = 4 * kNominalBootS;
  const double extended_deadline = 8 * kNominalBootS;
  for (int i = 0; i < 10; ++i) boots.OnBooted("c4", kNominalBootS, 0);
  EXPECT_DOUBLE_EQ(boots.Deadline("c4", kNominalBootS, 10, 0), usual_deadline)
      << "as many machines have booted as are late";
  EXPECT_DOUBLE_EQ(boots.Deadline("c4", kNominalBootS, 11, 0), extended_deadline);
  EXPECT_DOUBLE_EQ(boots.Deadline("c4", kNominalBootS, 3, extended_deadline + 1), extended_deadline)
      << "none has booted recently";
  EXPECT_DOUBLE_EQ(boots.Deadline("c4", kNominalBootS, 2, extended_deadline + 1), usual_deadline)
      << "two late machines are probably dead";
}

TEST(BootTimes, DiscardsOldestBoots) {
  BootTimes boots;
  for (int i = 0; i < 1000; ++i) boots.OnBooted("c4", 400, 0);
  for (int i = 0; i < 1000; ++i) boots.OnBooted("c4", kNominalBootS, 1);
  EXPECT_EQ(boots.LateThreshold("c4", kNominalBootS), 2 * kNominalBootS);
}

}  // namespace
}  // namespace hallpier::fleet
