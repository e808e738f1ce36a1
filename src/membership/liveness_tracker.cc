#include "membership/liveness_tracker.h"

#include <algorithm>

namespace hallpier::membership {
namespace {

// Upper bound of the threshold that is adapted to round trips, as a multiple of the threshold of a
// node that answers at once. A link that is slower than this is of no use, so its node may as well
// be suspected.
constexpr double kMaxAdaptedThresholdFactor = 4;
constexpr double kBackoffFactor = 2;
constexpr double kMaxBackoff = 64;
// The backoff is halved after each period of this many unadapted thresholds without a refuted
// suspicion.
constexpr double kBackoffHalfLifeThresholds = 30;

}  // namespace

void LivenessTracker::OnProbeResponse(double sent_at, double now) {
  OnAliveAt(sent_at);
  round_trip_.Add(now - sent_at);
}

void LivenessTracker::OnAliveAt(double at) {
  silent_since_ = std::max(silent_since_, at);
  last_alive_at_ = std::max(last_alive_at_.value_or(at), at);
}

void LivenessTracker::ResetSilence(double now) { silent_since_ = std::max(silent_since_, now); }

void LivenessTracker::OnRefuted(double now) {
  backoff_ = std::min(kMaxBackoff, Backoff(now) * kBackoffFactor);
  refuted_at_ = now;
  ResetSilence(now);
}

double LivenessTracker::Backoff(double now) const {
  const double half_life_s = kBackoffHalfLifeThresholds * options_.missed_probes * options_.probe_s;
  double backoff = backoff_;
  for (double at = refuted_at_ + half_life_s; backoff > 1 && at <= now; at += half_life_s) {
    backoff /= kBackoffFactor;
  }
  return std::max(1.0, backoff);
}

double LivenessTracker::SilenceThresholdS(double health_multiplier, double now) const {
  const double min_threshold_s = options_.missed_probes * options_.probe_s;
  const double adapted_s = std::min(min_threshold_s + round_trip_.UpperBoundS(),
                                    kMaxAdaptedThresholdFactor * min_threshold_s);
  return adapted_s * health_multiplier * Backoff(now);
}

}  // namespace hallpier::membership
