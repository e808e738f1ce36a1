// Tests the allocation of team limits to block owners: no allocation raises the committed amount
// above a limit, and idle amounts are soon reclaimed for work that needs them.
#include <gtest/gtest.h>

#include <numeric>
#include <random>

#include "fixtures.h"
#include "quota/allocation_planner.h"
#include "quota/team_account.h"
#include "quota/usage.h"

namespace hallpier::quota {
namespace {

using namespace testing_support;

constexpr double kLimit = 12;

std::vector<double> Rebalanced(double limit, const std::vector<OwnerAmounts>& owners,
                               double unowned = 0) {
  return TeamAccount(limit, unowned, owners).Rebalance();
}

TEST(TeamAccount, NewBlockAssignmentIsAllocatedEvenly) {
  EXPECT_EQ(Rebalanced(kLimit, {{}, {}, {}}), (std::vector<double>{4, 4, 4}));
  EXPECT_EQ(Rebalanced(10, {{}, {}, {}})[0], 10.0 / 3) << "limits need not be divisible";
}

TEST(TeamAccount, DoesNotAllocateEvenPartsSmallerThanAnyTask) {
  const TeamAccount account(1.5, 0, {{}, {}, {}}, 1);
  EXPECT_EQ(account.Rebalance(), (std::vector<double>{0, 0, 0}));
  const TeamAccount needed(1.5, 0, {{}, {0, 0, 1, 0}, {}}, 1);
  EXPECT_EQ(needed.Rebalance(), (std::vector<double>{0, 1, 0}))
      << "the amount must be available without a reclaim";
}

TEST(TeamAccount, CommitsTheLargerOfAllocatedAndPlaced) {
  EXPECT_EQ(TeamAccount(kLimit, 1, {{4, 6, 0, 0}, {5, 2, 0, 0}}).Committed(), 12);
}

// The owner that an amount is reclaimed from may still start tasks under its old allocation, so
// that only the rebalancing step after the reclaim allocates the amount.
TEST(TeamAccount, DoesNotReallocateAReclaimedAmountInTheSameStep) {
  const auto allocated = Rebalanced(kLimit, {{2, 2, 3, 0}, {10, 4, 0, 0}});
  EXPECT_EQ(allocated[0], 2);
  EXPECT_EQ(allocated[1], 7);
  EXPECT_EQ(Rebalanced(kLimit, {{2, 2, 3, 0}, {7, 4, 0, 0}})[0], 5);
}

TEST(TeamAccount, ReclaimsForATaskLargerThanAnEvenAllocation) {
  std::vector<OwnerAmounts> owners = {{4, 0, 0, 0}, {4, 0, 9, 0}, {4, 0, 0, 0}};
  for (int step = 0; step < 2; ++step) {
    const auto allocated = Rebalanced(kLimit, owners);
    for (size_t i = 0; i < allocated.size(); ++i) owners[i].allocated = allocated[i];
  }
  EXPECT_GE(owners[1].allocated, 9);
}

TEST(TeamAccount, LimitBelowTheUsageStopsOnlyNewStarts) {
  std::vector<OwnerAmounts> owners = {{8, 8, 0, 0}, {4, 4, 2, 0}};
  auto allocated = Rebalanced(6, owners);
  EXPECT_LE(allocated[0] + allocated[1], 6);
  // As tasks end, no new task may start until the total usage is within the limit.
  owners = {{allocated[0], 7, 0, 0}, {allocated[1], 3, 2, 0}};
  allocated = Rebalanced(6, owners);
  EXPECT_LT(allocated[0], 7);
  EXPECT_LT(allocated[1], 3);
}

TEST(TeamAccount, LeavesTheAmountReservedForOthersFreeAsTasksEnd) {
  const auto allocated = Rebalanced(kLimit, {{12, 12, 0, 3}, {0, 0, 0, 0}});
  EXPECT_EQ(allocated, (std::vector<double>{9, 0}));
}

TEST(TeamAccount, ShrinksAllocationsAboveTheLimit) {
  const auto allocated = Rebalanced(kLimit, {{10, 1, 0, 0}, {10, 2, 0, 0}});
  EXPECT_LE(allocated[0] + allocated[1], kLimit);
}

// A block owner may place up to its old or its new allocation, whichever is in effect when it
// places. From any state within the limit, no mixture of old and new allocations may exceed the
// limit.
TEST(TeamAccount, NoMixtureOfOldAndNewAllocationsExceedsTheLimit) {
  for (uint64_t seed = 0; seed < 3000; ++seed) {
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> amount(0, 8);
    std::bernoulli_distribution coin_flip(0.5);
    std::vector<OwnerAmounts> owners(std::uniform_int_distribution<size_t>(1, 9)(random));
    for (OwnerAmounts& owner : owners) {
      owner = {amount(random), coin_flip(random) ? amount(random) : 0,
               coin_flip(random) ? amount(random) : 0, coin_flip(random) ? 0 : amount(random)};
    }
    const double unowned = coin_flip(random) ? amount(random) : 0;
    const double committed = TeamAccount(0, unowned, owners).Committed();
    const double limit = committed + (coin_flip(random) ? amount(random) : 0);
    const auto allocated = Rebalanced(limit, owners, unowned);
    double worst_total = unowned;
    for (size_t i = 0; i < owners.size(); ++i) {
      worst_total += std::max({owners[i].allocated, owners[i].placed, allocated[i]});
    }
    ASSERT_LE(worst_total, limit + 1e-6) << "seed " << seed;
  }
}

// Needs of the plan that are within the limit must be allocated within a few rebalancing steps.
// After that, a further step must change nothing.
TEST(TeamAccount, MeetsNeedsWithinTheLimitAndConverges) {
  for (uint64_t seed = 0; seed < 1000; ++seed) {
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> amount(0, 4);
    std::vector<OwnerAmounts> owners(std::uniform_int_distribution<size_t>(2, 9)(random));
    double needs = 0;
    for (OwnerAmounts& owner : owners) {
      owner = {0, amount(random), amount(random), 0};
      needs += owner.placed + owner.planned;
    }
    // The rest of the limit is allocated to one block owner and idle.
    owners[0].allocated = owners[0].placed + amount(random);
    const double limit = std::max(needs, TeamAccount(0, 0, owners).Committed());
    std::vector<double> allocated;
    for (int step = 0; step < 4; ++step) {
      allocated = Rebalanced(limit, owners);
      for (size_t i = 0; i < allocated.size(); ++i) owners[i].allocated = allocated[i];
    }
    for (const OwnerAmounts& owner : owners) {
      ASSERT_GE(owner.allocated, owner.placed + owner.planned - 1e-6) << "seed " << seed;
    }
    EXPECT_EQ(Rebalanced(limit, owners), allocated) << "seed " << seed;
  }
}

TEST(AllocationRecordFormat, RoundTripsAndReadsInvalidRecordsAsAbsent) {
  const AllocationRecord record{77, {{"team", {4.5, 1}}, {"other", {0, 2}}}};
  EXPECT_EQ(ReadAllocation(WriteAllocation(record)), record);
  for (const char* invalid :
       {"", "[]", R"({"grant":1})", R"({"grant":-1,"lent":{}})", R"({"grant":1,"lent":{"t":[1]}})",
        R"({"grant":1,"lent":{"t":[1,-2]}})", R"({"grant":1,"lent":{"t":[1,"2"]}})"}) {
    EXPECT_EQ(ReadAllocation(invalid), std::nullopt) << invalid;
  }
}

TEST(AllocationRecordFormat, DropsTheSmallestAmountsToFitTheValueLimit) {
  AllocationRecord record{1, {}};
  for (int i = 0; i < 100; ++i) record.allocated["team-" + std::to_string(i)] = {1.0 + i, 0};
  const AllocationRecord trimmed = TrimToSize(record, 1024);
  EXPECT_LE(WriteAllocation(trimmed).size(), 1024U);
  EXPECT_TRUE(trimmed.allocated.contains("team-99"));
  EXPECT_FALSE(trimmed.allocated.contains("team-0"));
}

class AllocationPlannerTest : public testing::Test {
 protected:
  std::vector<AllocationChange> PlanChanges() const {
    return PlanAllocationChanges(teams_, {}, owners_, 8192);
  }
  std::vector<config::Team> teams_ = {{"free", 0, 0, 0, 0}, {"team", 0, 8, 0, 2}};
  std::vector<OwnerAccount> owners_ = {{"a", 5, {}, {}, {}, {}}, {"b", 6, {}, {}, {}, {}}};
};

TEST_F(AllocationPlannerTest, AllocatesOnlyToTeamsWithALimit) {
  const auto changes = PlanChanges();
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].record, (AllocationRecord{5, {{"team", {4, 1}}}}));
  EXPECT_EQ(changes[1].record.allocation_epoch, 6U);
  for (size_t i = 0; i < 2; ++i) owners_[i].allocation = changes[i].record;
  EXPECT_TRUE(PlanChanges().empty()) << "an unchanged allocation must not be written again";
}

TEST_F(AllocationPlannerTest, AllocationOfAnEarlierEpochCountsAsZero) {
  owners_[0].allocation = {4, {{"team", {8, 2}}}};
  EXPECT_EQ(PlanChanges()[0].record.allocated.at("team").cpus, 4);
  EXPECT_EQ(RemainingQuota(teams_[1], owners_[0].allocation, 5, {}).cpus, 0);
  EXPECT_EQ(RemainingQuota(teams_[1], owners_[0].allocation, 4, {{"team", {3, 0}}}).cpus, 5);
  EXPECT_GT(RemainingQuota(teams_[0], owners_[0].allocation, 5, {}).cpus, 1e9) << "no limit";
}

TEST(Usage, CountsPlacedTasksByTheBlockOwnerOfTheirMachine) {
  jobs::JobTable job_table(335);
  PutJob(job_table, Spec("run-1", 4, 2));
  PutOpenTask(job_table, "run-1", 0, 1, "vm-1");
  PutOpenTask(job_table, "run-1", 1, 1, "vm-2");
  PutOpenTask(job_table, "run-1", 2, 3, "vm-9");
  const auto owner_of = [](const std::string& machine) -> std::optional<size_t> {
    if (machine == "vm-9") return std::nullopt;
    return machine == "vm-1" ? 0 : 1;
  };
  const Usage usage = CountPlaced(job_table, 2, owner_of);
  EXPECT_EQ(usage.by_owner[0].at("team").cpus, 2);
  EXPECT_EQ(usage.by_owner[1].at("team").cpus, 2);
  EXPECT_EQ(usage.unowned.at("team").cpus, 2);
}

}  // namespace
}  // namespace hallpier::quota
