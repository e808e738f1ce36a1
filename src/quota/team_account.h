// Divides one team's limit of one kind of resource among the owners of blocks. Does no I/O.
//
// An owner counts with the larger of its allocated and its placed amount: it may place up to its
// allocation at any moment, and a placed task counts until it is proven gone. The committed amount
// is the sum over all owners, plus what is placed on machines without an owner. No allocation ever
// raises the committed amount above the limit. Allocating less than is placed is always safe; this
// is how an allocation shrinks as tasks end.
#pragma once

#include <cstddef>
#include <vector>

namespace hallpier::quota {

// One owner's part of the account.
struct OwnerAmounts {
  double allocated = 0;
  double placed = 0;   // by the records, on machines of its block
  double planned = 0;  // would be placed there now by the leader's plan
  // To be left free as tasks end, for work of the team that this owner can't place.
  double reserved_for_others = 0;
};

class TeamAccount {
 public:
  // `unowned`: amount placed on machines without an owner. `smallest_task`: the smallest amount
  // that a task of the team takes; 0 if not known.
  TeamAccount(double limit, double unowned, std::vector<OwnerAmounts> owners,
              double smallest_task = 0);

  // Returns the committed amount with the present allocations.
  double Committed() const;
  // Returns each owner's next allocation. An amount that is reclaimed from one owner goes to
  // another only after the reduction is recorded and the first owner's last placements are known; a
  // later call then allocates it.
  std::vector<double> Rebalance() const;

 private:
  using Amounts = std::vector<double>;
  double Need(size_t i) const { return owners_[i].placed + owners_[i].planned; }
  Amounts Allocated() const;
  // Returns the committed amount with these allocations.
  double CommittedWith(const Amounts& allocated) const;
  double Idle(const Amounts& allocated, size_t i) const;
  double Shortfall(const Amounts& allocated) const;
  void ShrinkToLimit(Amounts* allocated) const;
  void ShrinkForOthers(Amounts* allocated) const;
  // Allocates what the plan needs, as far as `free` suffices. Returns the rest of `free`.
  double AllocateNeeded(double free, Amounts* allocated) const;
  // Reclaims idle amounts, the largest first, until `shortfall` is covered.
  void ReclaimIdle(double shortfall, Amounts* allocated) const;
  // Allocates the amount that no plan needs yet evenly, so that new work need not wait for the
  // leader. Does nothing if an even part is smaller than any task: an unallocated amount need not
  // be reclaimed when it is needed.
  void AllocateSpare(double free, Amounts* allocated) const;

  const double limit_;
  const double unowned_;
  const std::vector<OwnerAmounts> owners_;
  const double smallest_task_;
};

}  // namespace hallpier::quota
