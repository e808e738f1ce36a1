#include "membership/liveness_tracker.h"

#include <algorithm>

namespace hallpier::membership {
namespace {

// However slow its answers are, a node is not waited for longer than so many times the threshold of
// one that answers at once: a link that is that slow serves nobody.
constexpr double kMaxSlowness = 4;
constexpr double kCautionStep = 2;
constexpr double kMaxCaution = 64;
// Without a wrong suspicion for so many thresholds, the caution that they left is halved.
constexpr double kCautionHalfLife = 30;

}  // namespace

void LivenessTracker::OnAnswer(double asked, double now) {
  OnHeard(asked);
  round_trip_.Add(now - asked);
}

void LivenessTracker::OnHeard(double at) {
  silent_since_ = std::max(silent_since_, at);
  proven_at_ = std::max(proven_at_.value_or(at), at);
}

void LivenessTracker::ResetSilence(double now) { silent_since_ = std::max(silent_since_, now); }

void LivenessTracker::OnRefuted(double now) {
  caution_ = std::min(kMaxCaution, Caution(now) * kCautionStep);
  refuted_at_ = now;
  ResetSilence(now);
}

double LivenessTracker::Caution(double now) const {
  const double half_life_s = kCautionHalfLife * options_.missed_probes * options_.probe_s;
  double caution = caution_;
  for (double at = refuted_at_ + half_life_s; caution > 1 && at <= now; at += half_life_s) {
    caution /= kCautionStep;
  }
  return std::max(1.0, caution);
}

double LivenessTracker::SilenceThresholdS(double factor, double now) const {
  const double least = options_.missed_probes * options_.probe_s;
  const double adapted = std::min(least + round_trip_.Bound(), kMaxSlowness * least);
  return adapted * factor * Caution(now);
}

}  // namespace hallpier::membership
