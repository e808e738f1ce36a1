// The free resources of a machine over time.
#include "plan/resource_timeline.h"

#include <gtest/gtest.h>

namespace hallpier::plan {
namespace {

TEST(ResourceTimeline, EarliestStartFindsGapsAndEndsOfReservations) {
  ResourceTimeline timeline(Resources{2, 0, 10});
  timeline.Reserve(0, 5, {1, 0, 1});
  timeline.Reserve(8, 4, {2, 0, 1});
  EXPECT_EQ(timeline.EarliestStart({1, 0, 1}, 8), 0);
  EXPECT_EQ(timeline.EarliestStart({1, 0, 1}, 9), 12)
      << "the gap before the second reservation is too short";
  EXPECT_EQ(timeline.EarliestStart({2, 0, 1}, 3), 5);
  EXPECT_EQ(timeline.EarliestStart({2, 0, 1}, 4), 12);
  EXPECT_LT(timeline.EarliestStart({3, 0, 1}, 1), 0);
  timeline.Release(6, {1, 0, 0});
  EXPECT_EQ(timeline.EarliestStart({3, 0, 1}, 1), 6);
}

}  // namespace
}  // namespace hallpier::plan
