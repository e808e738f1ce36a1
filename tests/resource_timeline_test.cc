// The free resources of a machine over time.
#include "plan/resource_timeline.h"

#include <gtest/gtest.h>

namespace hallpier::plan {
namespace {

TEST(ResourceTimeline, FindsGapsAndEnds) {
  ResourceTimeline t(Resources{2, 0, 10});
  t.Reserve(0, 5, {1, 0, 1});
  t.Reserve(8, 4, {2, 0, 1});
  EXPECT_EQ(t.EarliestStart({1, 0, 1}, 8), 0);
  EXPECT_EQ(t.EarliestStart({1, 0, 1}, 9), 12) << "the gap before the second block is too short";
  EXPECT_EQ(t.EarliestStart({2, 0, 1}, 3), 5);
  EXPECT_EQ(t.EarliestStart({2, 0, 1}, 4), 12);
  EXPECT_LT(t.EarliestStart({3, 0, 1}, 1), 0);
  t.Release(6, {1, 0, 0});
  EXPECT_EQ(t.EarliestStart({3, 0, 1}, 1), 6);
}

}  // namespace
}  // namespace hallpier::plan
