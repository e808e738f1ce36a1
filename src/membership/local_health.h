// How far this node trusts its own observations. A process that gets its turns late, or hears
// nobody at all, is more likely to be the one at fault (the local health multiplier of Lifeguard).
// Pure.
#pragma once

namespace hallpier::membership {

class LocalHealth {
 public:
  // A turn came so late, or after a pause, that silence of the others proves nothing.
  void OnPause();
  // An interval in which no other node answered although there are several.
  void OnNoAnswers();
  // An interval in which turns came in time and somebody answered.
  void OnGoodInterval();

  // 0: nothing is wrong with this node.
  int score() const { return score_; }
  // By which times of silence are stretched.
  double Factor() const { return 1.0 + score_; }

 private:
  int score_ = 0;
  int good_intervals_ = 0;
};

}  // namespace hallpier::membership
