// A token bucket for the request limits of the state service and of the cloud. It reads no clock;
// callers pass in the time.
#pragma once

namespace hallpier::store {

// Urgent requests may use a reserve, so that lease renewals, cancellations and similar requests do
// not queue behind new placements.
enum class RequestPriority { kNormal, kUrgent };

class RateLimiter {
 public:
  // `rate`: tokens per second. The bucket holds the tokens of `burst_s` seconds and is initially
  // full. Only urgent requests may use the last `reserve_ratio` (a fraction between 0 and 1) of it.
  RateLimiter(double rate, double burst_s, double reserve_ratio)
      : rate_(rate),
        capacity_(rate * burst_s),
        reserve_ratio_(reserve_ratio),
        tokens_(rate * burst_s) {}

  void SetRate(double rate, double burst_s);
  // Takes `cost` tokens immediately and returns the seconds to wait before using them. If the wait
  // would exceed `max_wait_s`, takes no tokens and returns a negative number. `now`: steady time in
  // seconds.
  double Acquire(double now, double cost, RequestPriority priority, double max_wait_s);

 private:
  double rate_;
  double capacity_;
  double reserve_ratio_;
  double tokens_;  // negative while requests wait
  double last_acquired_at_ = -1;
};

}  // namespace hallpier::store
