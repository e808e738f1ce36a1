#include "quota/team_account.h"

#include <algorithm>
#include <numeric>

#include "quota/amount.h"

namespace hallpier::quota {
namespace {

// Spare amounts are evened out once a holder has less than this part of an even one: each change is
// a write.
constexpr double kLowSpare = 0.5;

}  // namespace

TeamAccount::TeamAccount(double limit, double unowned, std::vector<OwnerAmounts> positions,
                         double least)
    : limit_(limit), outside_(unowned), positions_(std::move(positions)), least_(least) {}

double TeamAccount::Sum(const Amounts& allocated) const {
  double sum = outside_;
  for (size_t i = 0; i < allocated.size(); ++i) sum += std::max(allocated[i], positions_[i].placed);
  return sum;
}

double TeamAccount::Committed() const { return Sum(Lent()); }

TeamAccount::Amounts TeamAccount::Lent() const {
  Amounts allocated;
  allocated.reserve(positions_.size());
  for (const OwnerAmounts& p : positions_) allocated.push_back(p.allocated);
  return allocated;
}

double TeamAccount::Idle(const Amounts& allocated, size_t i) const {
  return std::max(0.0, allocated[i] - Need(i));
}

double TeamAccount::Missing(const Amounts& allocated) const {
  double missing = 0;
  for (size_t i = 0; i < positions_.size(); ++i) {
    if (positions_[i].planned > 0) missing += std::max(0.0, Need(i) - allocated[i]);
  }
  return missing;
}

void TeamAccount::ShrinkToLimit(Amounts* allocated) const {
  double placed = 0;
  for (const OwnerAmounts& p : positions_) placed += p.placed;
  const double room = std::max(0.0, limit_ - outside_);
  const double excess = Committed() - limit_;
  if (excess <= kTolerance) return;
  if (placed <= room) {
    RecallIdle(excess, allocated);
    if (Sum(*allocated) <= limit_ + kTolerance) return;
    // What the plan needs has to give way as well.
    for (size_t i = 0; i < allocated->size(); ++i) {
      (*allocated)[i] = std::min((*allocated)[i], positions_[i].placed);
    }
    return;
  }
  // More runs than is allowed: each share shrinks to its part of the limit, so that no start
  // follows an end until the whole is within it.
  for (size_t i = 0; i < allocated->size(); ++i) {
    (*allocated)[i] = std::min((*allocated)[i], room * positions_[i].placed / placed);
  }
}

void TeamAccount::Withhold(Amounts* allocated) const {
  for (size_t i = 0; i < allocated->size(); ++i) {
    const OwnerAmounts& p = positions_[i];
    if (p.reserved_for_others <= 0) continue;
    (*allocated)[i] = std::min((*allocated)[i], std::max(0.0, p.placed - p.reserved_for_others));
  }
}

double TeamAccount::LendNeeded(double free, Amounts* allocated) const {
  for (size_t i = 0; i < allocated->size(); ++i) {
    const OwnerAmounts& p = positions_[i];
    if (p.planned <= 0 || p.reserved_for_others > 0 || (*allocated)[i] >= Need(i) - kTolerance)
      continue;
    const double from = std::max((*allocated)[i], p.placed);
    const double given = std::min(free, Need(i) - from);
    if (given <= kTolerance) continue;
    (*allocated)[i] = from + given;
    free -= given;
  }
  return std::max(0.0, free);
}

void TeamAccount::RecallIdle(double missing, Amounts* allocated) const {
  std::vector<size_t> order(allocated->size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](size_t a, size_t b) { return Idle(*allocated, a) > Idle(*allocated, b); });
  for (const size_t i : order) {
    const double taken = std::min(missing, Idle(*allocated, i));
    if (taken <= 0) continue;
    (*allocated)[i] -= taken;
    missing -= taken;
  }
}

void TeamAccount::LendSpare(double free, Amounts* allocated) const {
  double needed = outside_;
  for (size_t i = 0; i < positions_.size(); ++i) needed += Need(i);
  const double even =
      std::max(0.0, limit_ - needed) / static_cast<double>(std::max<size_t>(positions_.size(), 1));
  if (even <= kTolerance || even < least_) return;
  double short_of = 0;
  for (size_t i = 0; i < positions_.size(); ++i) {
    if (positions_[i].reserved_for_others > 0 || Idle(*allocated, i) >= kLowSpare * even) continue;
    const double wanted = Need(i) + even - std::max((*allocated)[i], positions_[i].placed);
    const double given = std::min(free, wanted);
    if (given > kTolerance) {
      (*allocated)[i] = std::max((*allocated)[i], positions_[i].placed) + given;
      free -= given;
    }
    short_of += wanted - given;
  }
  if (short_of <= kTolerance) return;
  for (size_t i = 0; i < positions_.size() && short_of > kTolerance; ++i) {
    const double taken = std::min(short_of, Idle(*allocated, i) - even);
    if (taken <= kTolerance) continue;
    (*allocated)[i] -= taken;
    short_of -= taken;
  }
}

std::vector<double> TeamAccount::Rebalance() const {
  Amounts allocated = Lent();
  if (Committed() > limit_ + kTolerance) {
    ShrinkToLimit(&allocated);
    return allocated;
  }
  Withhold(&allocated);
  const double left = LendNeeded(limit_ - Committed(), &allocated);
  const double missing = Missing(allocated);
  if (missing > kTolerance) {
    RecallIdle(missing, &allocated);
  } else {
    LendSpare(left, &allocated);
  }
  return allocated;
}

}  // namespace hallpier::quota
