// Tracks when another node is last known to have been alive, and how long it must be silent before
// this node suspects it. Does no I/O.
#pragma once

#include <optional>

#include "membership/round_trip_estimator.h"

namespace hallpier::membership {

struct ProbeOptions {
  double probe_s = 0;        // interval between two probes
  double missed_probes = 0;  // unanswered probes after which a node is suspected
};

class LivenessTracker {
 public:
  LivenessTracker(ProbeOptions options, double now) : options_(options), silent_since_(now) {}

  // Records the response to a probe that was sent at `sent_at`. Since responses may have been
  // delayed, a response proves only that the node was alive when it received the probe.
  void OnProbeResponse(double sent_at, double now);
  // Records that the node was alive at `at`, as known from another source than a probe.
  void OnAliveAt(double at);
  // Measures the node's silence from `now` on, because this node caused, or may have caused, the
  // silence so far.
  void ResetSilence(double now);
  // Records that a suspicion was refuted. Each refutation raises the threshold for the next one.
  void OnRefuted(double now);

  // The last time at which the node is proven to have been alive; std::nullopt if there is none.
  const std::optional<double>& last_alive_at() const { return last_alive_at_; }
  // Returns how long the node must be silent to be suspected, multiplied by the local health
  // multiplier.
  double SilenceThresholdS(double health_multiplier, double now) const;
  bool Silent(double health_multiplier, double now) const {
    return now - silent_since_ > SilenceThresholdS(health_multiplier, now);
  }

 private:
  double Backoff(double now) const;

  ProbeOptions options_;
  RoundTripEstimator round_trip_;
  double silent_since_;
  std::optional<double> last_alive_at_;
  double backoff_ = 1;
  double refuted_at_ = 0;
};

}  // namespace hallpier::membership
