// A token bucket for the request limits of the state service and of the cloud. Plain arithmetic on
// the times that its callers pass in.
#pragma once

namespace hallpier::store {

// Urgent requests may use a reserve: lease renewals, cancellations and the like must not queue
// behind new placements.
enum class RequestPriority { kNormal, kUrgent };

class RateLimiter {
 public:
  // `rate`: tokens a second. The bucket holds those of `burst_s` seconds and is full at first; only
  // urgent requests may use the last `reserve` of it (a part between 0 and 1).
  RateLimiter(double rate, double burst_s, double reserve)
      : rate_(rate), burst_(rate * burst_s), reserve_(reserve), level_(rate * burst_s) {}

  void SetRate(double rate, double burst_s);
  // Takes `cost` tokens at once and returns the seconds to wait before they may be used. Negative,
  // with nothing taken, if that is longer than `max_wait_s`. `now`: steady time in seconds.
  double Acquire(double now, double cost, RequestPriority priority, double max_wait_s);

 private:
  double rate_;
  double burst_;
  double reserve_;
  double level_;  // negative while requests wait
  double last_acquired_at_ = -1;
};

}  // namespace hallpier::store
