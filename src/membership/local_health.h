// Measures how far this node may trust its own observations: a process that is scheduled late, or
// gets no response from any other node, is more likely to be at fault than the other nodes are.
// This is the local health multiplier of Lifeguard. Does no I/O.
#pragma once

namespace hallpier::membership {

class LocalHealth {
 public:
  // Called after a pause, or when the event loop ran so late that the silence of other nodes proves
  // nothing.
  void OnPause();
  // Called for an interval in which none of several other nodes answered.
  void OnNoAnswers();
  // Called for an interval in which the event loop ran on time and at least one node answered.
  void OnGoodInterval();

  // 0 if nothing is wrong with this node; higher values mean worse health.
  int score() const { return score_; }
  // Returns the factor by which silence thresholds and confirmation times are multiplied.
  double TimeoutMultiplier() const { return 1.0 + score_; }

 private:
  int score_ = 0;
  int good_intervals_ = 0;
};

}  // namespace hallpier::membership
