#include "membership/local_health.h"

#include <algorithm>

namespace hallpier::membership {
namespace {

constexpr int kMaxScore = 4;
constexpr int kPausePenalty = 2;
// Consecutive good intervals that lower the score by one.
constexpr int kGoodIntervalsPerPoint = 3;

}  // namespace

void LocalHealth::OnPause() {
  score_ = std::min(kMaxScore, score_ + kPausePenalty);
  good_intervals_ = 0;
}

void LocalHealth::OnNoAnswers() {
  score_ = std::min(kMaxScore, score_ + 1);
  good_intervals_ = 0;
}

void LocalHealth::OnGoodInterval() {
  if (score_ == 0 || ++good_intervals_ < kGoodIntervalsPerPoint) return;
  good_intervals_ = 0;
  --score_;
}

}  // namespace hallpier::membership
