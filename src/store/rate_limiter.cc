#include "store/rate_limiter.h"

#include <algorithm>

namespace hallpier::store {

void RateLimiter::SetRate(double rate, double burst_s) {
  rate_ = rate;
  capacity_ = rate * burst_s;
  tokens_ = std::min(tokens_, capacity_);
}

double RateLimiter::Acquire(double now, double cost, RequestPriority priority, double max_wait_s) {
  if (last_acquired_at_ >= 0) {
    tokens_ = std::min(capacity_, tokens_ + (now - last_acquired_at_) * rate_);
  }
  last_acquired_at_ = now;
  const double reserved = priority == RequestPriority::kUrgent ? 0 : capacity_ * reserve_ratio_;
  // A cost above the capacity could never be met at once: the request waits for a full bucket and
  // leaves a negative number of tokens.
  const double needed = std::min(cost + reserved, capacity_);
  const double wait = std::max(0.0, (needed - tokens_) / rate_);
  if (wait > max_wait_s) return -1;
  tokens_ -= cost;
  return wait;
}

}  // namespace hallpier::store
