// Counts the heartbeats of the last complete interval. Does no I/O.
#pragma once

#include <cstdint>

namespace hallpier::membership {

class HeartbeatCounter {
 public:
  HeartbeatCounter(double interval_s, double now) : interval_s_(interval_s), interval_start_(now) {}

  void Add(double now) {
    Advance(now);
    ++current_count_;
  }
  // Returns the count of the last complete interval; 0 if nothing was added for longer than that.
  uint64_t Last(double now) {
    Advance(now);
    return last_count_;
  }
  // True once one complete interval has passed since construction or Reset().
  bool Complete(double now) {
    Advance(now);
    return complete_intervals_ > 0;
  }
  void Reset(double now) { *this = HeartbeatCounter(interval_s_, now); }

 private:
  void Advance(double now) {
    if (now < interval_start_ + interval_s_) return;
    last_count_ = now < interval_start_ + 2 * interval_s_ ? current_count_ : 0;
    current_count_ = 0;
    interval_start_ = now < interval_start_ + 2 * interval_s_ ? interval_start_ + interval_s_ : now;
    ++complete_intervals_;
  }

  double interval_s_;
  double interval_start_;
  uint64_t current_count_ = 0;
  uint64_t last_count_ = 0;
  uint64_t complete_intervals_ = 0;
};

}  // namespace hallpier::membership
