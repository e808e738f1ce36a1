// Blocks of machines: who holds them, by which records, and what these allow.
#include <gtest/gtest.h>

#include "blocks/assignment_planner.h"
#include "blocks/block_records.h"
#include "blocks/block_view_builder.h"
#include "blocks/machine_state_replica.h"
#include "blocks/owner_eligibility.h"
#include "fixtures.h"
#include "model/heartbeat.h"
#include "model/job.h"
#include "model/task.h"
#include "wire/peer_codec.h"

namespace hallpier::blocks {
namespace {

using namespace testing_support;

using Token = model::FencingToken;

const BlockAssignmentRecord kThree = {Token(40), {{"a", 1, 9}, {"b", 2, 9}, {"c", 3, 9}}};

std::string Machine(int i) { return std::string("vm-").append(std::to_string(100000 + i)); }

TEST(RendezvousHash, EachNodeGetsAnEvenPart) {
  const RendezvousHash order({"a", "b", "c"});
  std::vector<int> machines(3);
  for (int i = 0; i < 3000; ++i) ++machines[order.HighestRanked(Machine(i))];
  for (int n : machines) EXPECT_NEAR(n, 1000, 120);
}

// What another build or version finds must be the same for ever.
TEST(RendezvousHash, TheOrderIsThatOfThePublishedHash) {
  const RendezvousHash order({"node-0", "node-1", "node-2"});
  std::string first;
  for (int i = 0; i < 16; ++i) first += std::to_string(order.HighestRanked(Machine(i)));
  EXPECT_EQ(first, "1112011220000222");
}

TEST(RendezvousHash, ANodeThatGoesMovesOnlyItsOwn) {
  const RendezvousHash three({"a", "b", "c"}), two({"a", "b"});
  for (int i = 0; i < 1000; ++i) {
    const size_t before = three.HighestRanked(Machine(i));
    if (before < 2) {
      EXPECT_EQ(two.HighestRanked(Machine(i)), before);
    }
  }
}

TEST(BlockAssignment, IsReadAsWrittenAndBadOnesCountAsNone) {
  EXPECT_EQ(ReadBlockAssignment(WriteBlockAssignment(kThree)), kThree);
  EXPECT_EQ(ReadBlockAssignment(WriteBlockAssignment({})), BlockAssignmentRecord());
  const std::string twice = WriteBlockAssignment({Token(1), {{"a", 1, 1}, {"a", 2, 1}}});
  for (const std::string& bad : {std::string(), std::string("{}"), std::string(R"({"token":1})"),
                                 std::string(R"({"token":1,"holders":[{"node":"a"}]})"), twice}) {
    EXPECT_EQ(ReadBlockAssignment(bad), std::nullopt) << bad;
  }
}

TEST(BlockAssignment, AJobIsOpenToOneHolderAndToOneMoreAfterEachWait) {
  const BlockAssignment division(kThree);
  model::JobSpec spec = Spec("run-7", 1);
  auto open = [&](model::Priority priority, double waited_s) {
    int n = 0;
    for (size_t i = 0; i < 3; ++i) {
      if (division.MayPlace(i, spec, priority, waited_s, 2)) ++n;
    }
    return n;
  };
  EXPECT_EQ(open(model::Priority::kNormal, 0), 1);
  EXPECT_EQ(open(model::Priority::kNormal, -1), 1) << "clocks differ";
  EXPECT_EQ(open(model::Priority::kNormal, 2), 2);
  EXPECT_EQ(open(model::Priority::kBestEffort, 4), 3);
  EXPECT_EQ(open(model::Priority::kUrgent, 0), 3);
}

class AssignmentPlannerTest : public testing::Test {
 protected:
  AssignmentPlannerTest() { planner_.BeginTerm(Token(40)); }
  std::optional<BlockAssignmentRecord> Review(const Candidates& candidates, uint64_t token = 40) {
    return planner_.PlanChange(current_, Token(token), 100, candidates);
  }
  AssignmentPlanner planner_{9};
  BlockAssignmentRecord current_ = kThree;
};

TEST_F(AssignmentPlannerTest, NothingIsWrittenWhileAllIsWell) {
  EXPECT_FALSE(Review({{"a", 1}, {"b", 2}, {"c", 3}}));
  current_ = {};
  EXPECT_FALSE(Review({{"a", 1}})) << "one holder is none, and there is no record of it";
}

TEST_F(AssignmentPlannerTest, ABlockThatIsTakenBackLeavesTheOthersTheirShares) {
  const auto next = Review({{"a", 1}, {"c", 3}});
  ASSERT_TRUE(next);
  EXPECT_EQ(next->owners, (std::vector<BlockOwner>{{"a", 1, 9}, {"c", 3, 9}}));
}

// Its machines come from the others: what these were lent may cover tasks that count elsewhere
// then.
TEST_F(AssignmentPlannerTest, WhoeverJoinsMakesAllThatIsLentVoid) {
  const auto next = Review({{"a", 1}, {"b", 2}, {"c", 3}, {"d", 4}});
  ASSERT_TRUE(next);
  ASSERT_EQ(next->owners.size(), 4U);
  for (const BlockOwner& holder : next->owners) EXPECT_EQ(holder.allocation_epoch, 100U);
}

TEST_F(AssignmentPlannerTest, ANewProcessOfAHolderLosesItsShareAlone) {
  const auto next = Review({{"a", 1}, {"b", 5}, {"c", 3}});
  ASSERT_TRUE(next);
  EXPECT_EQ(next->owners, (std::vector<BlockOwner>{{"a", 1, 9}, {"b", 5, 100}, {"c", 3, 9}}));
}

TEST_F(AssignmentPlannerTest, ANewLeaderTrustsNoShareOfATermBefore) {
  planner_.BeginTerm(Token(50));
  const auto next = Review({{"a", 1}, {"b", 2}, {"c", 3}}, 50);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->token, Token(50));
  for (const BlockOwner& holder : next->owners) EXPECT_EQ(holder.allocation_epoch, 100U);
}

TEST_F(AssignmentPlannerTest, AHigherTokenOfTheSameTermKeepsShares) {
  const auto next = Review({{"a", 1}, {"b", 2}, {"c", 3}}, 45);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->token, Token(45));
  EXPECT_EQ(next->owners, kThree.owners);
}

TEST_F(AssignmentPlannerTest, FewerThanTwoHoldNothing) {
  EXPECT_EQ(Review({{"b", 2}}), (BlockAssignmentRecord{Token(40), {}}));
  EXPECT_EQ(Review({}), (BlockAssignmentRecord{Token(40), {}}));
}

TEST_F(AssignmentPlannerTest, NoMoreThanTheMostHoldBlocksAndThoseThatDoKeepThem) {
  AssignmentPlanner two(2);
  current_ = {Token(40), {{"c", 3, 9}}};
  const auto next = two.PlanChange(current_, Token(40), 100, {{"a", 1}, {"b", 2}, {"c", 3}});
  ASSERT_TRUE(next);
  ASSERT_EQ(next->owners.size(), 2U);
  EXPECT_EQ(next->owners[0].node, "c");
}

class OwnerEligibilityTest : public testing::Test {
 protected:
  OwnerEligibilityTest() {
    for (const BlockOwner& holder : kThree.owners)
      eligibility_.OnMember(holder.node, holder.session);
    eligibility_.BeginTerm(kThree, 0);
  }
  // Acknowledged at each second up to `end`.
  void Acknowledge(const std::string& node, uint64_t session, double end, bool able = true) {
    for (; now_ < end; now_ += 1) {
      eligibility_.OnAcknowledged("b", 2, true, now_);
      if (node != "b") eligibility_.OnAcknowledged(node, session, able, now_);
      fit_ = eligibility_.EligibleNodes(now_);
    }
  }
  OwnerEligibility eligibility_{{.node = "a", .lease_s = 3, .backoff_s = 3, .max_backoff_s = 48}};
  Candidates fit_;
  double now_ = 0;
};

TEST_F(OwnerEligibilityTest, AFormerLeadersHoldersHaveTheTimeOfALease) {
  EXPECT_EQ(eligibility_.EligibleNodes(2.9), (Candidates{{"a", 1}, {"b", 2}, {"c", 3}}));
  EXPECT_EQ(eligibility_.EligibleNodes(3.1), (Candidates{{"a", 1}}));
}

TEST_F(OwnerEligibilityTest, WhoeverTheStateServiceDoesNotAnswerLosesItsBlock) {
  Acknowledge("c", 3, 6, false);
  EXPECT_EQ(fit_, (Candidates{{"a", 1}, {"b", 2}}));
}

TEST_F(OwnerEligibilityTest, AVerdictEndsALeaseAtOnce) {
  Acknowledge("c", 3, 2);
  eligibility_.OnMember("c", std::nullopt);
  EXPECT_EQ(eligibility_.EligibleNodes(now_), (Candidates{{"a", 1}, {"b", 2}}));
}

TEST_F(OwnerEligibilityTest, AnAnswerOfAFormerProcessRenewsNothing) {
  eligibility_.OnMember("c", 4);
  Acknowledge("c", 3, 6);
  EXPECT_FALSE(fit_.contains("c"));
  Acknowledge("c", 4, 12);
  EXPECT_EQ(fit_["c"], 4U);
}

// Each loss in a row doubles the time without a block.
TEST_F(OwnerEligibilityTest, ACutThatComesAndGoesCostsEverFewerChanges) {
  int changes = 0;
  bool before = true;
  for (int second = 0; second < 300; ++second) {
    const bool cut = second % 10 < 5;
    Acknowledge("c", 3, second + 1, !cut);
    if (fit_.contains("c") != before) ++changes;
    before = fit_.contains("c");
  }
  EXPECT_GT(changes, 1);
  EXPECT_LT(changes, 20) << "sixty without holding off";
}

class BlockRecordsTest : public testing::Test {
 protected:
  BlockRecordsTest() {
    records_.SetBlockAssignment(WriteBlockAssignment(kThree), 50);
    records_.SetAllocation("b", quota::WriteAllocation({9, {{"team", {4, 0}}}}), 60);
  }
  std::optional<size_t> Holding(uint64_t session, CacheState copy) const {
    return records_.ActiveOwnerIndex("b", session, copy);
  }
  BlockRecords records_;
};

TEST_F(BlockRecordsTest, AHolderNeedsItsSessionTheLeadersTokenAndACopyPastTheGrant) {
  EXPECT_EQ(Holding(2, {50, Token(40)}), 1U);
  EXPECT_EQ(Holding(1, {60, Token(40)}), std::nullopt) << "a former process";
  EXPECT_EQ(Holding(2, {60, Token(41)}), std::nullopt) << "another leader may place anything";
  EXPECT_EQ(Holding(2, {49, Token(40)}), std::nullopt)
      << "what was placed before the grant is unknown";
  EXPECT_EQ(records_.ActiveOwnerIndex("d", 2, {50, Token(40)}), std::nullopt);
}

TEST_F(BlockRecordsTest, EveryPlacementIsGuardedByTokenDivisionAndShare) {
  const auto preconditions = records_.PlacementPreconditions(1);
  ASSERT_EQ(preconditions.size(), 3U);
  EXPECT_EQ(preconditions[0].key, store::FencingTokenKey());
  EXPECT_EQ(preconditions[0].version, 40U);
  EXPECT_EQ(preconditions[1].key, store::DivisionKey());
  EXPECT_EQ(preconditions[1].version, 50U);
  EXPECT_EQ(preconditions[2].key, store::ShareKey("b"));
  EXPECT_EQ(preconditions[2].version, 60U);
  EXPECT_EQ(records_.PlacementPreconditions(0)[2].version, 0U) << "no share is there";
}

TEST_F(BlockRecordsTest, WhatCannotBeReadAllowsNothing) {
  records_.SetAllocation("b", "nonsense", 70);
  EXPECT_TRUE(records_.AllocationOf("b").allocated.empty());
  records_.SetBlockAssignment("nonsense", 80);
  EXPECT_FALSE(records_.block_assignment().has_owners());
  EXPECT_EQ(records_.newest_revision(), 80U);
  EXPECT_EQ(records_.AllPreconditions()[0].version, 80U) << "it can be written over";
}

TEST_F(BlockRecordsTest, AHoldersRoomIsWhatItIsLentLessWhatItsMachinesHold) {
  jobs::JobTable job_table(335);
  PutJob(job_table, Spec("run-1", 50));
  const BlockAssignment division(kThree);
  int placed = 0;
  for (uint32_t i = 0; placed < 3; ++i) {
    if (division.OwnerOf(Machine(static_cast<int>(i))) != 1U) continue;
    Place(job_table, "run-1", i, 1, Machine(static_cast<int>(i)));
    ++placed;
  }
  config::Settings settings = SettingsOf();
  settings.teams = {{"team", 0, 12, 0, 0}};
  const plan::PlacementScope scope = records_.OwnerScope(1, 1, 0, settings, job_table);
  EXPECT_EQ(scope.team_allowances.at("team").cpus, 1);
}

class ViewTest : public testing::Test {
 protected:
  ViewTest() {
    PutJob(job_table_, Spec("run-1", 3));
    for (int i = 0; i < 30; ++i) Report(i, 1);
  }
  void Report(int i, uint64_t sequence, bool busy = false) {
    model::Heartbeat report = ReportOf(Machine(i), 1, sequence, {});
    if (busy) report.tasks.push_back(TaskReportOf("run-1", 0, 1, model::TaskPhase::kRunning));
    leader_.OnHeartbeat(report, 1, false);
  }
  std::vector<wire::BlockView> Next(uint64_t token = 5) {
    return sender_.BuildViews(Token(token), division_, 1, DescribeMachines(leader_, job_table_, 1),
                              {});
  }
  std::optional<uint64_t> Take(const std::vector<wire::BlockView>& views) {
    std::optional<uint64_t> last;
    for (const auto& view : views) last = replica_.Apply(view, 50);
    return last;
  }
  const fleet::WorkerRegistry::Options options_{3, 30, 3, 3};
  const BlockAssignment division_{kThree};
  jobs::JobTable job_table_{335};
  fleet::WorkerRegistry leader_{options_};
  BlockViewBuilder sender_;
  MachineStateReplica replica_{options_};
};

TEST_F(ViewTest, AHolderSeesItsMachinesAsTheLeaderDoesAndOfOthersTheZone) {
  Report(4, 2, true);
  EXPECT_EQ(Take(Next()), 1U);
  int own = 0;
  for (const auto& [name, machine] : replica_.registry().machines()) {
    EXPECT_EQ(machine.zone, "a");
    const bool mine = division_.OwnerOf(name) == 1U;
    EXPECT_EQ(replica_.registry().AcceptsTasks(machine, 51), mine);
    EXPECT_EQ(machine.machine_type, mine ? "c4" : "");
    if (mine) ++own;
  }
  EXPECT_EQ(replica_.registry().machines().size(), 30U);
  EXPECT_GT(own, 3);
}

TEST_F(ViewTest, OnlyChangesAreToldAndAMissedViewIsMadeGood) {
  Take(Next());
  EXPECT_TRUE(Next()[0].changed.empty()) << "a heartbeat, lost here";
  int mine = 0;
  while (division_.OwnerOf(Machine(mine)) != 1U) ++mine;
  Report(mine, 2, true);
  const auto changes = Next();
  ASSERT_EQ(changes[0].changed.size(), 1U);
  EXPECT_EQ(Take(changes), 0U) << "the one before it was missed";
  sender_.OnAcknowledged(0);
  EXPECT_EQ(Take(Next()), 1U);
  EXPECT_TRUE(replica_.registry().Find(Machine(mine))->reported_tasks.contains({"run-1", 0}));
}

TEST_F(ViewTest, AFormerLeaderIsNotHeard) {
  Take(Next(6));
  BlockViewBuilder former;
  EXPECT_EQ(Take(former.BuildViews(Token(5), division_, 1, {}, {})), std::nullopt);
  EXPECT_EQ(replica_.registry().machines().size(), 30U);
}

TEST_F(ViewTest, WithoutTheLeaderMachinesAreNotUsedForLong) {
  Take(Next());
  for (const auto& [name, machine] : replica_.registry().machines()) {
    EXPECT_FALSE(replica_.registry().AcceptsTasks(machine, 50 + 2 * options_.heartbeat_interval_s));
  }
}

TEST_F(ViewTest, FourThousandMachinesComeInFramesThatFit) {
  for (int i = 0; i < 4000; ++i) Report(i, 3, true);
  const auto views = Next();
  EXPECT_GT(views.size(), 1U);
  for (const auto& view : views) {
    EXPECT_LE(wire::WritePeerMessage(view).size(), wire::kMaxPeerFrameBytes);
  }
  EXPECT_EQ(Take(views), views.size());
  EXPECT_EQ(replica_.registry().machines().size(), 4000U);
}

}  // namespace
}  // namespace hallpier::blocks
