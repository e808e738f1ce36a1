#include "membership/round_trip_estimator.h"

#include <cmath>

namespace hallpier::membership {
namespace {

// Weights and factor of RFC 6298.
constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviationFactor = 4;

}  // namespace

void RoundTripEstimator::Add(double sample_s) {
  if (!has_samples_) {
    has_samples_ = true;
    mean_s_ = sample_s;
    deviation_s_ = sample_s / 2;
    return;
  }
  deviation_s_ += kDeviationWeight * (std::abs(sample_s - mean_s_) - deviation_s_);
  mean_s_ += kMeanWeight * (sample_s - mean_s_);
}

double RoundTripEstimator::UpperBoundS() const { return mean_s_ + kDeviationFactor * deviation_s_; }

}  // namespace hallpier::membership
