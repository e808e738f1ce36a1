// The assignment of numbers to container images.
#include "fleet/image_index.h"

#include <gtest/gtest.h>

namespace hallpier::fleet {
namespace {

TEST(ImageIndex, FindOrAddKeepsAssignedNumber) {
  ImageIndex images;
  EXPECT_FALSE(images.Find("a").has_value());
  EXPECT_EQ(images.FindOrAdd("a"), 0U);
  EXPECT_EQ(images.FindOrAdd("b"), 1U);
  EXPECT_EQ(images.FindOrAdd("a"), 0U);
  EXPECT_EQ(images.Find("b"), 1U);
}

TEST(ImageIndex, IsFullForNewImagesOnly) {
  ImageIndex images;
  size_t count = 0;
  while (!images.IsFullFor("new")) images.FindOrAdd("image-" + std::to_string(count++));
  EXPECT_EQ(count, 2000U);
  EXPECT_FALSE(images.IsFullFor("image-0"));
  images.Clear();
  EXPECT_FALSE(images.IsFullFor("new"));
  EXPECT_FALSE(images.Find("image-0").has_value());
}

}  // namespace
}  // namespace hallpier::fleet
