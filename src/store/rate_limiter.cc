#include "store/rate_limiter.h"

#include <algorithm>

namespace hallpier::store {

void RateLimiter::SetRate(double rate, double burst_s) {
  rate_ = rate;
  burst_ = rate * burst_s;
  level_ = std::min(level_, burst_);
}

double RateLimiter::Acquire(double now, double cost, RequestPriority priority, double max_wait_s) {
  if (last_acquired_at_ >= 0) {
    level_ = std::min(burst_, level_ + (now - last_acquired_at_) * rate_);
  }
  last_acquired_at_ = now;
  const double untouched = priority == RequestPriority::kUrgent ? 0 : burst_ * reserve_;
  // A cost of more than the bucket holds could never be had at once: it waits for a full bucket and
  // leaves the level negative.
  const double needed = std::min(cost + untouched, burst_);
  const double wait = std::max(0.0, (needed - level_) / rate_);
  if (wait > max_wait_s) return -1;
  level_ -= cost;
  return wait;
}

}  // namespace hallpier::store
