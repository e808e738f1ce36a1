// How one team's limit of one kind of resource is divided among holders. Does no I/O.
//
// A share counts as the larger of what is lent and what is recorded as placed under it, since its
// holder may place up to what is lent at any moment, and since what is placed stays until it is
// proven gone. The sum of these, and of what is placed under no share, is committed; nothing is
// ever lent that would take it beyond the limit. BlockPlanner less than is placed is always safe,
// and is how a share shrinks as tasks end.
#pragma once

#include <cstddef>
#include <vector>

namespace hallpier::quota {

// One holder's part of the account.
struct OwnerAmounts {
  double allocated = 0;
  double placed = 0;   // recorded on machines of its block
  double planned = 0;  // what the leader's plan would place there now
  // What is to be left free as tasks end, for work of the team that this holder can't place.
  double reserved_for_others = 0;
};

class TeamAccount {
 public:
  // `unowned`: recorded on machines of no holder. `least`: the smallest amount that a task of the
  // team takes; 0: not known.
  TeamAccount(double limit, double unowned, std::vector<OwnerAmounts> positions, double least = 0);

  // Committed by what is lent and placed now.
  double Committed() const;
  // What each holder is to be lent next. What is taken back from one is not lent to another before
  // it has been recorded and the holder's last placements are known: this is asked for again then.
  std::vector<double> Rebalance() const;

 private:
  using Amounts = std::vector<double>;
  double Need(size_t i) const { return positions_[i].placed + positions_[i].planned; }
  Amounts Lent() const;
  // What is committed if so much is lent.
  double Sum(const Amounts& allocated) const;
  double Idle(const Amounts& allocated, size_t i) const;
  double Missing(const Amounts& allocated) const;
  void ShrinkToLimit(Amounts* allocated) const;
  void Withhold(Amounts* allocated) const;
  // Lends what the plan needs, as far as there is something free. Returns what is left.
  double LendNeeded(double free, Amounts* allocated) const;
  // Takes back what lies idle, the largest first, until `missing` is met.
  void RecallIdle(double missing, Amounts* allocated) const;
  // Lends what nobody needs yet, so that new work need not wait for the leader; unless an even part
  // is less than any task takes. What is left unlent needs no recall when it is needed.
  void LendSpare(double free, Amounts* allocated) const;

  const double limit_;
  const double outside_;
  const std::vector<OwnerAmounts> positions_;
  const double least_;
};

}  // namespace hallpier::quota
