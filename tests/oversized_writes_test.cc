// Writes that the state service has rejected because of their size.
#include "controller/oversized_writes.h"

#include <gtest/gtest.h>

namespace hallpier::controller {
namespace {

using Writes = std::vector<model::KeyWrite>;

TEST(OversizedWrites, FirstRejectionIsolatesKeys) {
  OversizedWrites oversized;
  const Writes together = {{"key-1", "1234", 0}, {"key-2", "12", 0}};
  EXPECT_FALSE(oversized.IsRejected(together));
  EXPECT_FALSE(oversized.OnRejected(together));
  EXPECT_EQ(oversized.isolated_keys(), (std::set<std::string>{"key-1", "key-2"}));
  EXPECT_FALSE(oversized.IsRejected({together[0]}))
      << "it may be accepted in a separate transaction";
}

TEST(OversizedWrites, IsolatedWriteIsNotSentAgainAtSameSize) {
  OversizedWrites oversized;
  const Writes write = {{"key-1", "1234", 0}};
  EXPECT_FALSE(oversized.OnRejected(write));
  EXPECT_TRUE(oversized.OnRejected(write)) << "its key was isolated already";
  EXPECT_TRUE(oversized.IsRejected(write));
  EXPECT_TRUE(oversized.IsRejected({{"key-1", "4321", 0}}))
      << "other times in the value make no difference";
  EXPECT_FALSE(oversized.IsRejected({{"key-1", "123", 0}}));
  EXPECT_FALSE(oversized.IsRejected({{"key-2", "1234", 0}}));
  EXPECT_FALSE(oversized.IsRejected({{"key-1", "1234", 0}, {"key-2", "", 0}}));
}

TEST(OversizedWrites, ClearRemovesAllEntries) {
  OversizedWrites oversized;
  const Writes write = {{"key-1", "1234", 0}};
  oversized.OnRejected(write);
  oversized.OnRejected(write);
  oversized.Clear();
  EXPECT_FALSE(oversized.IsRejected(write));
  EXPECT_TRUE(oversized.isolated_keys().empty());
}

}  // namespace
}  // namespace hallpier::controller
