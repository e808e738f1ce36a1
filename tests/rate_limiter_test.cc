#include "store/rate_limiter.h"

#include <gtest/gtest.h>

namespace hallpier::store {
namespace {

TEST(RateLimiter, KeepsReserveForUrgentRequests) {
  RateLimiter limiter(10, 1, 0.3);
  EXPECT_EQ(limiter.Acquire(0, 7, RequestPriority::kNormal, 0), 0);
  EXPECT_LT(limiter.Acquire(0, 1, RequestPriority::kNormal, 0), 0);
  EXPECT_EQ(limiter.Acquire(0, 3, RequestPriority::kUrgent, 0), 0);
  EXPECT_NEAR(limiter.Acquire(0, 1, RequestPriority::kUrgent, 1), 0.1, 1e-9);
  EXPECT_NEAR(limiter.Acquire(0.1, 2, RequestPriority::kNormal, 1), 0.5, 1e-9);
}

}  // namespace
}  // namespace hallpier::store
