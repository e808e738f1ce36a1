#include "membership/round_trip_estimator.h"

#include <cmath>

namespace hallpier::membership {
namespace {

// Weights and factor of RFC 6298.
constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviations = 4;

}  // namespace

void RoundTripEstimator::Add(double sample_s) {
  if (!any_) {
    any_ = true;
    mean_s_ = sample_s;
    deviation_s_ = sample_s / 2;
    return;
  }
  deviation_s_ += kDeviationWeight * (std::abs(sample_s - mean_s_) - deviation_s_);
  mean_s_ += kMeanWeight * (sample_s - mean_s_);
}

double RoundTripEstimator::Bound() const { return mean_s_ + kDeviations * deviation_s_; }

}  // namespace hallpier::membership
