// A token bucket for the request limits of the state service and of the cloud.
#pragma once

namespace hallpier::store {

// What leases, cancellations and completions need must not queue behind new placements.
enum class Urgent { kNo, kYes };

class RateLimiter {
 public:
  // `reserve` is the share of the bucket that only urgent requests may empty.
  RateLimiter(double rate, double burst_s, double reserve)
      : rate_(rate), burst_(rate * burst_s), reserve_(reserve), level_(rate * burst_s) {}

  void SetRate(double rate, double burst_s);
  // Seconds to wait before `cost` may be spent; it is taken at once. Negative, with nothing taken,
  // if that would be longer than `max_wait_s`.
  double Take(double now, double cost, Urgent urgent, double max_wait_s);

 private:
  double rate_;
  double burst_;
  double reserve_;
  double level_;
  double last_ = -1;
};

}  // namespace hallpier::store
