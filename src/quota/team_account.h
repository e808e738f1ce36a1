// Divides one team's limit of one kind of resource among the owners of blocks. Does no I/O.
//
// An owner counts with the larger of its allocated and its placed amount: it may place up to its
// allocation at any moment, and a placed task counts until it is proven gone. The
// committed amount is the sum over all owners, plus what is placed on machines without an owner. No
// allocation ever raises the committed amount above the limit. An allocation below the placed
// amount is always safe, since the placed amount counts then. Such an allocation makes the owner's
// part shrink as its tasks end.
#pragma once

#include <cstddef>
#include <vector>

namespace hallpier::quota {

// One owner's part of the account.
struct OwnerAmounts {
  double allocated = 0;
  double placed = 0;   // according to the records, on machines of its block
  double planned = 0;  // what the leader's plan would place there now
  // Must be left free as tasks end, for work of the team that this owner can't place.
  double reserved_for_others = 0;
};

class TeamAccount {
 public:
  // `unowned`: amount placed on machines without an owner. `smallest_task`: the smallest amount
  // that a task of the team takes; 0 if not known.
  TeamAccount(double limit, double unowned, std::vector<OwnerAmounts> owners,
              double smallest_task = 0);

  // Returns the committed amount with the current allocations.
  double Committed() const;
  // Returns each owner's next allocation. An amount that is reclaimed from one owner is not
  // allocated to another by the same call, but by a later one, after the reduction is recorded and
  // the first owner's last placements are known.
  std::vector<double> Rebalance() const;

 private:
  using Amounts = std::vector<double>;
  double Need(size_t i) const { return owners_[i].placed + owners_[i].planned; }
  Amounts Allocated() const;
  // Returns the committed amount with these allocations.
  double CommittedWith(const Amounts& allocated) const;
  double Idle(const Amounts& allocated, size_t i) const;
  // Returns by how much these allocations fall short of the needs of owners with planned tasks.
  double Shortfall(const Amounts& allocated) const;
  void ShrinkToLimit(Amounts* allocated) const;
  void ShrinkForOthers(Amounts* allocated) const;
  // Allocates what the plan needs, as far as `free` suffices. Returns the rest of `free`.
  double AllocateNeeded(double free, Amounts* allocated) const;
  // Reclaims idle amounts, the largest first, until `shortfall` is covered.
  void ReclaimIdle(double shortfall, Amounts* allocated) const;
  // Allocates an equal share of the amount that no plan needs yet to each owner that has too little
  // of it, so that new work need not wait for the leader. If `free` does not suffice, reclaims idle
  // amounts above an equal share. Does nothing if an equal share is smaller than any task: an
  // amount that stays unallocated need not be reclaimed first when a task needs it.
  void AllocateSpare(double free, Amounts* allocated) const;

  const double limit_;
  const double unowned_;
  const std::vector<OwnerAmounts> owners_;
  const double smallest_task_;
};

}  // namespace hallpier::quota
