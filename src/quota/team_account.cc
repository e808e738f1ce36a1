#include "quota/team_account.h"

#include <algorithm>
#include <numeric>

#include "quota/amount.h"

namespace hallpier::quota {
namespace {

// Spare amounts are evened out only if an owner has less than this fraction of an equal share,
// because each change costs a write.
constexpr double kMinSpareRatio = 0.5;

}  // namespace

TeamAccount::TeamAccount(double limit, double unowned, std::vector<OwnerAmounts> owners,
                         double smallest_task)
    : limit_(limit), unowned_(unowned), owners_(std::move(owners)), smallest_task_(smallest_task) {}

double TeamAccount::CommittedWith(const Amounts& allocated) const {
  double sum = unowned_;
  for (size_t i = 0; i < allocated.size(); ++i) sum += std::max(allocated[i], owners_[i].placed);
  return sum;
}

double TeamAccount::Committed() const { return CommittedWith(Allocated()); }

TeamAccount::Amounts TeamAccount::Allocated() const {
  Amounts allocated;
  allocated.reserve(owners_.size());
  for (const OwnerAmounts& owner : owners_) allocated.push_back(owner.allocated);
  return allocated;
}

double TeamAccount::Idle(const Amounts& allocated, size_t i) const {
  return std::max(0.0, allocated[i] - Need(i));
}

double TeamAccount::Shortfall(const Amounts& allocated) const {
  double shortfall = 0;
  for (size_t i = 0; i < owners_.size(); ++i) {
    if (owners_[i].planned > 0) shortfall += std::max(0.0, Need(i) - allocated[i]);
  }
  return shortfall;
}

void TeamAccount::ShrinkToLimit(Amounts* allocated) const {
  double placed = 0;
  for (const OwnerAmounts& owner : owners_) placed += owner.placed;
  const double available = std::max(0.0, limit_ - unowned_);
  const double excess = Committed() - limit_;
  if (excess <= kTolerance) return;
  if (placed <= available) {
    ReclaimIdle(excess, allocated);
    if (CommittedWith(*allocated) <= limit_ + kTolerance) return;
    // Idle amounts were not enough: allocations for planned tasks shrink as well.
    for (size_t i = 0; i < allocated->size(); ++i) {
      (*allocated)[i] = std::min((*allocated)[i], owners_[i].placed);
    }
    return;
  }
  // More is placed than the limit allows. Each allocation shrinks to a part of the limit that is
  // proportional to the placed amount, so that ended tasks are not replaced until the total is
  // within the limit.
  for (size_t i = 0; i < allocated->size(); ++i) {
    (*allocated)[i] = std::min((*allocated)[i], available * owners_[i].placed / placed);
  }
}

void TeamAccount::ShrinkForOthers(Amounts* allocated) const {
  for (size_t i = 0; i < allocated->size(); ++i) {
    const OwnerAmounts& owner = owners_[i];
    if (owner.reserved_for_others <= 0) continue;
    (*allocated)[i] =
        std::min((*allocated)[i], std::max(0.0, owner.placed - owner.reserved_for_others));
  }
}

double TeamAccount::AllocateNeeded(double free, Amounts* allocated) const {
  for (size_t i = 0; i < allocated->size(); ++i) {
    const OwnerAmounts& owner = owners_[i];
    if (owner.planned <= 0 || owner.reserved_for_others > 0 ||
        (*allocated)[i] >= Need(i) - kTolerance)
      continue;
    // What is placed is committed in any case, so only the amount above it takes from `free`.
    const double base = std::max((*allocated)[i], owner.placed);
    const double added = std::min(free, Need(i) - base);
    if (added <= kTolerance) continue;
    (*allocated)[i] = base + added;
    free -= added;
  }
  return std::max(0.0, free);
}

void TeamAccount::ReclaimIdle(double shortfall, Amounts* allocated) const {
  std::vector<size_t> order(allocated->size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](size_t a, size_t b) { return Idle(*allocated, a) > Idle(*allocated, b); });
  for (const size_t i : order) {
    const double reclaimed = std::min(shortfall, Idle(*allocated, i));
    if (reclaimed <= 0) continue;
    (*allocated)[i] -= reclaimed;
    shortfall -= reclaimed;
  }
}

void TeamAccount::AllocateSpare(double free, Amounts* allocated) const {
  double needed = unowned_;
  for (size_t i = 0; i < owners_.size(); ++i) needed += Need(i);
  const double even_spare =
      std::max(0.0, limit_ - needed) / static_cast<double>(std::max<size_t>(owners_.size(), 1));
  if (even_spare <= kTolerance || even_spare < smallest_task_) return;
  double shortfall = 0;
  for (size_t i = 0; i < owners_.size(); ++i) {
    if (owners_[i].reserved_for_others > 0 || Idle(*allocated, i) >= kMinSpareRatio * even_spare)
      continue;
    const double wanted = Need(i) + even_spare - std::max((*allocated)[i], owners_[i].placed);
    const double added = std::min(free, wanted);
    if (added > kTolerance) {
      (*allocated)[i] = std::max((*allocated)[i], owners_[i].placed) + added;
      free -= added;
    }
    shortfall += wanted - added;
  }
  if (shortfall <= kTolerance) return;
  for (size_t i = 0; i < owners_.size() && shortfall > kTolerance; ++i) {
    const double reclaimed = std::min(shortfall, Idle(*allocated, i) - even_spare);
    if (reclaimed <= kTolerance) continue;
    (*allocated)[i] -= reclaimed;
    shortfall -= reclaimed;
  }
}

std::vector<double> TeamAccount::Rebalance() const {
  Amounts allocated = Allocated();
  if (Committed() > limit_ + kTolerance) {
    ShrinkToLimit(&allocated);
    return allocated;
  }
  ShrinkForOthers(&allocated);
  // Committed() counts the current allocations, so the amounts that this call reclaims are not
  // counted as free.
  const double remaining = AllocateNeeded(limit_ - Committed(), &allocated);
  const double shortfall = Shortfall(allocated);
  if (shortfall > kTolerance) {
    ReclaimIdle(shortfall, &allocated);
  } else {
    AllocateSpare(remaining, &allocated);
  }
  return allocated;
}

}  // namespace hallpier::quota
