#include "membership/local_health.h"

#include <algorithm>

namespace hallpier::membership {
namespace {

constexpr int kMaxScore = 4;
constexpr int kPauseCost = 2;
// Good intervals that take one point off.
constexpr int kRecovery = 3;

}  // namespace

void LocalHealth::OnPause() {
  score_ = std::min(kMaxScore, score_ + kPauseCost);
  good_intervals_ = 0;
}

void LocalHealth::OnNoAnswers() {
  score_ = std::min(kMaxScore, score_ + 1);
  good_intervals_ = 0;
}

void LocalHealth::OnGoodInterval() {
  if (score_ == 0 || ++good_intervals_ < kRecovery) return;
  good_intervals_ = 0;
  --score_;
}

}  // namespace hallpier::membership
