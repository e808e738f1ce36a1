// Estimates how long a request takes to be answered: a smoothed mean and deviation of the round
// trips, as TCP keeps them for its retransmission timer (RFC 6298). Does no I/O.
#pragma once

namespace hallpier::membership {

class RoundTripEstimator {
 public:
  void Add(double sample_s);
  // Returns the time within which nearly all responses arrive; 0 before the first sample.
  double UpperBoundS() const;

 private:
  bool has_samples_ = false;
  double mean_s_ = 0;
  double deviation_s_ = 0;
};

}  // namespace hallpier::membership
