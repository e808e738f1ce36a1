// Tests blocks of machines: how machines map to block owners, which nodes are eligible, and which
// placements the records of block assignment and allocations allow.
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

const BlockAssignmentRecord kThreeOwners = {Token(40), {{"a", 1, 9}, {"b", 2, 9}, {"c", 3, 9}}};

std::string MachineName(int i) { return std::string("vm-").append(std::to_string(100000 + i)); }

TEST(RendezvousHash, DistributesMachinesEvenly) {
  const RendezvousHash order({"a", "b", "c"});
  std::vector<int> machines(3);
  for (int i = 0; i < 3000; ++i) ++machines[order.HighestRanked(MachineName(i))];
  for (int n : machines) EXPECT_NEAR(n, 1000, 120);
}

// The order must never change, in any build or version: nodes of different versions must agree on
// the owner of a machine.
TEST(RendezvousHash, MatchesThePublishedHash) {
  const RendezvousHash order({"node-0", "node-1", "node-2"});
  std::string first;
  for (int i = 0; i < 16; ++i) first += std::to_string(order.HighestRanked(MachineName(i)));
  EXPECT_EQ(first, "1112011220000222");
}

TEST(RendezvousHash, RemovingANodeMovesOnlyItsMachines) {
  const RendezvousHash three({"a", "b", "c"}), two({"a", "b"});
  for (int i = 0; i < 1000; ++i) {
    const size_t before = three.HighestRanked(MachineName(i));
    if (before < 2) {
      EXPECT_EQ(two.HighestRanked(MachineName(i)), before);
    }
  }
}

TEST(BlockAssignment, RoundTripsAndReadsInvalidRecordsAsAbsent) {
  EXPECT_EQ(ReadBlockAssignment(WriteBlockAssignment(kThreeOwners)), kThreeOwners);
  EXPECT_EQ(ReadBlockAssignment(WriteBlockAssignment({})), BlockAssignmentRecord());
  const std::string duplicate_node = WriteBlockAssignment({Token(1), {{"a", 1, 1}, {"a", 2, 1}}});
  for (const std::string& invalid :
       {std::string(), std::string("{}"), std::string(R"({"token":1})"),
        std::string(R"({"token":1,"holders":[{"node":"a"}]})"), duplicate_node}) {
    EXPECT_EQ(ReadBlockAssignment(invalid), std::nullopt) << invalid;
  }
}

TEST(BlockAssignment, OneBlockOwnerMayPlaceAJobAndOneMoreAfterEachWait) {
  const BlockAssignment assignment(kThreeOwners);
  model::JobSpec spec = Spec("run-7", 1);
  auto owners_allowed = [&](model::Priority priority, double waited_s) {
    int n = 0;
    for (size_t i = 0; i < 3; ++i) {
      if (assignment.MayPlace(i, spec, priority, waited_s, 2)) ++n;
    }
    return n;
  };
  EXPECT_EQ(owners_allowed(model::Priority::kNormal, 0), 1);
  EXPECT_EQ(owners_allowed(model::Priority::kNormal, -1), 1)
      << "a negative wait is possible, since clocks differ";
  EXPECT_EQ(owners_allowed(model::Priority::kNormal, 2), 2);
  EXPECT_EQ(owners_allowed(model::Priority::kBestEffort, 4), 3);
  EXPECT_EQ(owners_allowed(model::Priority::kUrgent, 0), 3);
}

class AssignmentPlannerTest : public testing::Test {
 protected:
  AssignmentPlannerTest() { planner_.BeginTerm(Token(40)); }
  std::optional<BlockAssignmentRecord> PlanChange(const Candidates& candidates,
                                                  uint64_t token = 40) {
    return planner_.PlanChange(current_, Token(token), 100, candidates);
  }
  AssignmentPlanner planner_{9};
  BlockAssignmentRecord current_ = kThreeOwners;
};

TEST_F(AssignmentPlannerTest, WritesNothingWithoutChanges) {
  EXPECT_FALSE(PlanChange({{"a", 1}, {"b", 2}, {"c", 3}}));
  current_ = {};
  EXPECT_FALSE(PlanChange({{"a", 1}}))
      << "a single candidate owns no block, and there is no record to replace";
}

TEST_F(AssignmentPlannerTest, RevokingABlockKeepsTheOtherAllocations) {
  const auto next = PlanChange({{"a", 1}, {"c", 3}});
  ASSERT_TRUE(next);
  EXPECT_EQ(next->owners, (std::vector<BlockOwner>{{"a", 1, 9}, {"c", 3, 9}}));
}

// The new owner's machines come from the other blocks. The allocations of their owners might then
// cover tasks that are now counted under the new block.
TEST_F(AssignmentPlannerTest, NewBlockOwnerInvalidatesAllAllocations) {
  const auto next = PlanChange({{"a", 1}, {"b", 2}, {"c", 3}, {"d", 4}});
  ASSERT_TRUE(next);
  ASSERT_EQ(next->owners.size(), 4U);
  for (const BlockOwner& owner : next->owners) EXPECT_EQ(owner.allocation_epoch, 100U);
}

TEST_F(AssignmentPlannerTest, NewSessionOfABlockOwnerInvalidatesOnlyItsAllocation) {
  const auto next = PlanChange({{"a", 1}, {"b", 5}, {"c", 3}});
  ASSERT_TRUE(next);
  EXPECT_EQ(next->owners, (std::vector<BlockOwner>{{"a", 1, 9}, {"b", 5, 100}, {"c", 3, 9}}));
}

TEST_F(AssignmentPlannerTest, NewLeaderInvalidatesAllocationsOfEarlierTerms) {
  planner_.BeginTerm(Token(50));
  const auto next = PlanChange({{"a", 1}, {"b", 2}, {"c", 3}}, 50);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->token, Token(50));
  for (const BlockOwner& owner : next->owners) EXPECT_EQ(owner.allocation_epoch, 100U);
}

TEST_F(AssignmentPlannerTest, HigherTokenOfTheSameTermKeepsAllocations) {
  const auto next = PlanChange({{"a", 1}, {"b", 2}, {"c", 3}}, 45);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->token, Token(45));
  EXPECT_EQ(next->owners, kThreeOwners.owners);
}

TEST_F(AssignmentPlannerTest, FewerThanTwoCandidatesOwnNoBlocks) {
  EXPECT_EQ(PlanChange({{"b", 2}}), (BlockAssignmentRecord{Token(40), {}}));
  EXPECT_EQ(PlanChange({}), (BlockAssignmentRecord{Token(40), {}}));
}

TEST_F(AssignmentPlannerTest, LimitsTheNumberOfBlockOwnersAndKeepsTheCurrentOnes) {
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
    for (const BlockOwner& owner : kThreeOwners.owners)
      eligibility_.OnMember(owner.node, owner.session);
    eligibility_.BeginTerm(kThreeOwners, 0);
  }
  // Acknowledges views of node b, and of `node` unless it is b, every second up to `end`.
  void Acknowledge(const std::string& node, uint64_t session, double end, bool ready = true) {
    for (; now_ < end; now_ += 1) {
      eligibility_.OnAcknowledged("b", 2, true, now_);
      if (node != "b") eligibility_.OnAcknowledged(node, session, ready, now_);
      eligible_ = eligibility_.EligibleNodes(now_);
    }
  }
  OwnerEligibility eligibility_{{.node = "a", .lease_s = 3, .backoff_s = 3, .max_backoff_s = 48}};
  Candidates eligible_;
  double now_ = 0;
};

TEST_F(OwnerEligibilityTest, BlockOwnersOfTheFormerLeaderStayEligibleForOneLease) {
  EXPECT_EQ(eligibility_.EligibleNodes(2.9), (Candidates{{"a", 1}, {"b", 2}, {"c", 3}}));
  EXPECT_EQ(eligibility_.EligibleNodes(3.1), (Candidates{{"a", 1}}));
}

TEST_F(OwnerEligibilityTest, NodeWithoutTheStateServiceLosesEligibility) {
  Acknowledge("c", 3, 6, false);
  EXPECT_EQ(eligible_, (Candidates{{"a", 1}, {"b", 2}}));
}

TEST_F(OwnerEligibilityTest, FailedMemberLosesEligibilityAtOnce) {
  Acknowledge("c", 3, 2);
  eligibility_.OnMember("c", std::nullopt);
  EXPECT_EQ(eligibility_.EligibleNodes(now_), (Candidates{{"a", 1}, {"b", 2}}));
}

TEST_F(OwnerEligibilityTest, AcknowledgementOfAnEarlierSessionRenewsNothing) {
  eligibility_.OnMember("c", 4);
  Acknowledge("c", 3, 6);
  EXPECT_FALSE(eligible_.contains("c"));
  Acknowledge("c", 4, 12);
  EXPECT_EQ(eligible_["c"], 4U);
}

// Each loss in a row doubles the backoff, the time without a block. Otherwise a node that is cut
// off intermittently would cause a change of the block assignment each time.
TEST_F(OwnerEligibilityTest, RepeatedLossesIncreaseTheBackoff) {
  int changes = 0;
  bool before = true;
  for (int second = 0; second < 300; ++second) {
    const bool cut = second % 10 < 5;
    Acknowledge("c", 3, second + 1, !cut);
    if (eligible_.contains("c") != before) ++changes;
    before = eligible_.contains("c");
  }
  EXPECT_GT(changes, 1);
  EXPECT_LT(changes, 20) << "60 changes are expected without a backoff";
}

class BlockRecordsTest : public testing::Test {
 protected:
  BlockRecordsTest() {
    records_.SetBlockAssignment(WriteBlockAssignment(kThreeOwners), 50);
    records_.SetAllocation("b", quota::WriteAllocation({9, {{"team", {4, 0}}}}), 60);
  }
  std::optional<size_t> ActiveOwnerIndex(uint64_t session, CacheState cache) const {
    return records_.ActiveOwnerIndex("b", session, cache);
  }
  BlockRecords records_;
};

TEST_F(BlockRecordsTest, OwnershipRequiresSessionTokenAndACachePastTheAllocationEpoch) {
  EXPECT_EQ(ActiveOwnerIndex(2, {50, Token(40)}), 1U);
  EXPECT_EQ(ActiveOwnerIndex(1, {60, Token(40)}), std::nullopt)
      << "the session of an earlier process";
  EXPECT_EQ(ActiveOwnerIndex(2, {60, Token(41)}), std::nullopt)
      << "a leader with another token may place on any machine";
  EXPECT_EQ(ActiveOwnerIndex(2, {49, Token(40)}), std::nullopt)
      << "the cache may lack placements from before the allocation epoch";
  EXPECT_EQ(records_.ActiveOwnerIndex("d", 2, {50, Token(40)}), std::nullopt);
}

TEST_F(BlockRecordsTest, PlacementsArePreconditionedOnTokenAssignmentAndAllocation) {
  const auto preconditions = records_.PlacementPreconditions(1);
  ASSERT_EQ(preconditions.size(), 3U);
  EXPECT_EQ(preconditions[0].key, store::FencingTokenKey());
  EXPECT_EQ(preconditions[0].version, 40U);
  EXPECT_EQ(preconditions[1].key, store::BlockAssignmentKey());
  EXPECT_EQ(preconditions[1].version, 50U);
  EXPECT_EQ(preconditions[2].key, store::AllocationKey("b"));
  EXPECT_EQ(preconditions[2].version, 60U);
  EXPECT_EQ(records_.PlacementPreconditions(0)[2].version, 0U) << "there is no allocation record";
}

TEST_F(BlockRecordsTest, UnreadableRecordsAllowNoPlacement) {
  records_.SetAllocation("b", "nonsense", 70);
  EXPECT_TRUE(records_.AllocationOf("b").allocated.empty());
  records_.SetBlockAssignment("nonsense", 80);
  EXPECT_FALSE(records_.block_assignment().has_owners());
  EXPECT_EQ(records_.newest_revision(), 80U);
  EXPECT_EQ(records_.AllPreconditions()[0].version, 80U)
      << "an unreadable record must be replaceable";
}

TEST_F(BlockRecordsTest, AllowanceIsTheAllocationMinusTheTasksPlacedOnTheBlock) {
  jobs::JobTable job_table(335);
  PutJob(job_table, Spec("run-1", 50));
  const BlockAssignment assignment(kThreeOwners);
  int placed = 0;
  for (uint32_t i = 0; placed < 3; ++i) {
    if (assignment.OwnerOf(MachineName(static_cast<int>(i))) != 1U) continue;
    PutOpenTask(job_table, "run-1", i, 1, MachineName(static_cast<int>(i)));
    ++placed;
  }
  config::Settings settings = TestSettings();
  settings.teams = {{"team", 0, 12, 0, 0}};
  const plan::PlacementScope scope = records_.OwnerScope(1, 1, 0, settings, job_table);
  EXPECT_EQ(scope.team_allowances.at("team").cpus, 1);
}

class BlockViewTest : public testing::Test {
 protected:
  BlockViewTest() {
    PutJob(job_table_, Spec("run-1", 3));
    for (int i = 0; i < 30; ++i) ReportHeartbeat(i, 1);
  }
  void ReportHeartbeat(int i, uint64_t sequence, bool busy = false) {
    model::Heartbeat heartbeat = MakeHeartbeat(MachineName(i), 1, sequence, {});
    if (busy) heartbeat.tasks.push_back(MakeTaskStatus("run-1", 0, 1, model::TaskPhase::kRunning));
    leader_registry_.OnHeartbeat(heartbeat, 1, false);
  }
  std::vector<wire::BlockView> NextViews(uint64_t token = 5) {
    return view_builder_.BuildViews(Token(token), assignment_, 1,
                                    DescribeMachines(leader_registry_, job_table_, 1), {});
  }
  std::optional<uint64_t> ApplyViews(const std::vector<wire::BlockView>& views) {
    std::optional<uint64_t> last;
    for (const auto& view : views) last = replica_.Apply(view, 50);
    return last;
  }
  const fleet::WorkerRegistry::Options options_{3, 30, 3, 3};
  const BlockAssignment assignment_{kThreeOwners};
  jobs::JobTable job_table_{335};
  fleet::WorkerRegistry leader_registry_{options_};
  BlockViewBuilder view_builder_;
  MachineStateReplica replica_{options_};
};

TEST_F(BlockViewTest, ShowsABlockOwnerItsMachinesAndTheZonesOfTheOthers) {
  ReportHeartbeat(4, 2, true);
  EXPECT_EQ(ApplyViews(NextViews()), 1U);
  int machines_in_block = 0;
  for (const auto& [name, machine] : replica_.registry().machines()) {
    EXPECT_EQ(machine.zone, "a");
    const bool in_block = assignment_.OwnerOf(name) == 1U;
    EXPECT_EQ(replica_.registry().AcceptsTasks(machine, 51), in_block);
    EXPECT_EQ(machine.machine_type, in_block ? "c4" : "");
    if (in_block) ++machines_in_block;
  }
  EXPECT_EQ(replica_.registry().machines().size(), 30U);
  EXPECT_GT(machines_in_block, 3);
}

TEST_F(BlockViewTest, SendsOnlyChangesAndRepeatsAMissedView) {
  ApplyViews(NextViews());
  EXPECT_TRUE(NextViews()[0].changed.empty())
      << "a view without changes serves as a heartbeat; this one is lost";
  int in_block_index = 0;
  while (assignment_.OwnerOf(MachineName(in_block_index)) != 1U) ++in_block_index;
  ReportHeartbeat(in_block_index, 2, true);
  const auto changes = NextViews();
  ASSERT_EQ(changes[0].changed.size(), 1U);
  EXPECT_EQ(ApplyViews(changes), 0U) << "the preceding view was missed";
  view_builder_.OnAcknowledged(0);
  EXPECT_EQ(ApplyViews(NextViews()), 1U);
  EXPECT_TRUE(
      replica_.registry().Find(MachineName(in_block_index))->reported_tasks.contains({"run-1", 0}));
}

TEST_F(BlockViewTest, IgnoresViewsOfAFormerLeader) {
  ApplyViews(NextViews(6));
  BlockViewBuilder former_leader;
  EXPECT_EQ(ApplyViews(former_leader.BuildViews(Token(5), assignment_, 1, {}, {})), std::nullopt);
  EXPECT_EQ(replica_.registry().machines().size(), 30U);
}

TEST_F(BlockViewTest, MachinesStopAcceptingTasksWithoutTheLeader) {
  ApplyViews(NextViews());
  for (const auto& [name, machine] : replica_.registry().machines()) {
    EXPECT_FALSE(replica_.registry().AcceptsTasks(machine, 50 + 2 * options_.heartbeat_interval_s));
  }
}

TEST_F(BlockViewTest, SplitsFourThousandMachinesIntoFramesWithinTheLimit) {
  for (int i = 0; i < 4000; ++i) ReportHeartbeat(i, 3, true);
  const auto views = NextViews();
  EXPECT_GT(views.size(), 1U);
  for (const auto& view : views) {
    EXPECT_LE(wire::WritePeerMessage(view).size(), wire::kMaxPeerFrameBytes);
  }
  EXPECT_EQ(ApplyViews(views), views.size());
  EXPECT_EQ(replica_.registry().machines().size(), 4000U);
}

}  // namespace
}  // namespace hallpier::blocks
