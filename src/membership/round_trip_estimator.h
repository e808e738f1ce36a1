// How long an answer to a probe usually takes, and how much that varies: a smoothed mean and
// deviation as TCP keeps them for its retransmission timer (RFC 6298). Pure.
#pragma once

namespace hallpier::membership {

class RoundTripEstimator {
 public:
  void Add(double sample_s);
  // Nearly all answers have come by then; 0 before the first sample.
  double Bound() const;

 private:
  bool any_ = false;
  double mean_s_ = 0;
  double deviation_s_ = 0;
};

}  // namespace hallpier::membership
