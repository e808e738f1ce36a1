// What this node itself has observed of another one: when it was last known to be alive, and how
// long it must be silent before that means anything. Pure.
#pragma once

#include <optional>

#include "membership/round_trip_estimator.h"

namespace hallpier::membership {

struct ProbeOptions {
  double probe_s = 0;        // time between two probes
  double missed_probes = 0;  // unanswered ones that make a node suspect
};

class LivenessTracker {
 public:
  LivenessTracker(ProbeOptions options, double now) : options_(options), silent_since_(now) {}

  // An answer to a probe that was sent at `asked`. It proves no more than that the node was alive
  // when it got the probe: answers may have been held up.
  void OnAnswer(double asked, double now);
  // Known to be alive at `at` by other means.
  void OnHeard(double at);
  // The silence up to now was, or may have been, this node's own fault: it counts anew from here.
  void ResetSilence(double now);
  // A suspicion has turned out to be wrong: the next takes longer, the more so the more there were.
  void OnRefuted(double now);

  // When it was last proven to be alive; nothing: never.
  const std::optional<double>& last_alive_at() const { return proven_at_; }
  // Silence that makes the node suspect, stretched by the local health `factor`.
  double SilenceThresholdS(double factor, double now) const;
  bool Silent(double factor, double now) const {
    return now - silent_since_ > SilenceThresholdS(factor, now);
  }

 private:
  double Caution(double now) const;

  ProbeOptions options_;
  RoundTripEstimator round_trip_;
  double silent_since_;
  std::optional<double> proven_at_;
  double caution_ = 1;
  double refuted_at_ = 0;
};

}  // namespace hallpier::membership
