#include "store/rate_limiter.h"

#include <algorithm>

namespace hallpier::store {

void RateLimiter::SetRate(double rate, double burst_s) {
  rate_ = rate;
  burst_ = rate * burst_s;
  level_ = std::min(level_, burst_);
}

double RateLimiter::Take(double now, double cost, Urgent urgent, double max_wait_s) {
  if (last_ >= 0) level_ = std::min(burst_, level_ + (now - last_) * rate_);
  last_ = now;
  const double keep = urgent == Urgent::kYes ? 0 : burst_ * reserve_;
  // What exceeds the bucket itself could never be had: it waits for a full one and leaves a debt.
  const double need = std::min(cost + keep, burst_);
  const double wait = std::max(0.0, (need - level_) / rate_);
  if (wait > max_wait_s) return -1;
  level_ -= cost;
  return wait;
}

}  // namespace hallpier::store
