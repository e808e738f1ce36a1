// Counts what came in the last whole interval. Pure.
#pragma once

#include <cstdint>

namespace hallpier::membership {

class ReportCounter {
 public:
  ReportCounter(double interval_s, double now) : interval_s_(interval_s), began_(now) {}

  void Add(double now) {
    Roll(now);
    ++current_;
  }
  // In the last interval that is over; 0 if nothing came for longer than that.
  uint64_t Last(double now) {
    Roll(now);
    return last_;
  }
  // True once a whole interval has been counted since the beginning, or since Reset().
  bool Complete(double now) {
    Roll(now);
    return intervals_ > 0;
  }
  void Reset(double now) { *this = ReportCounter(interval_s_, now); }

 private:
  void Roll(double now) {
    if (now < began_ + interval_s_) return;
    last_ = now < began_ + 2 * interval_s_ ? current_ : 0;
    current_ = 0;
    began_ = now < began_ + 2 * interval_s_ ? began_ + interval_s_ : now;
    ++intervals_;
  }

  double interval_s_;
  double began_;
  uint64_t current_ = 0;
  uint64_t last_ = 0;
  uint64_t intervals_ = 0;
};

}  // namespace hallpier::membership
