// Tests the membership of several nodes in simulated time, one failure per test. docs/membership.md
// names the safeguard against each failure.
#include <gtest/gtest.h>

#include <algorithm>

#include "model/member.h"
#include "simulation/membership_cluster.h"

namespace hallpier {
namespace {

using namespace testing_support;
using membership::MemberRecord;
using model::MemberState;
using Options = MembershipCluster::Options;

constexpr double kSettleS = 10;

void Settle(MembershipCluster& cluster) {
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.Converged(); }, kSettleS));
}

size_t CountFailureDeclarations(const MembershipCluster& cluster, const std::string& node) {
  const auto& declarations = cluster.failure_declarations();
  return static_cast<size_t>(
      std::count_if(declarations.begin(), declarations.end(),
                    [&](const auto& declaration) { return declaration.node == node; }));
}

std::string AnyNodeExcept(const MembershipCluster& cluster, const std::string& node) {
  for (const std::string& name : cluster.names()) {
    if (name != node) return name;
  }
  return "";
}

class MembershipClusterTest : public testing::Test {
 protected:
  void Start(Options options) {
    cluster_.emplace(options);
    Settle(*cluster_);
    leader_ = cluster_->Leader();
    other_ = AnyNodeExcept(*cluster_, leader_);
  }
  void Start() { Start(Options()); }
  // Runs until the node is first declared failed and returns the simulated time that this took.
  double TimeUntilDeclaredFailed(const std::string& node, double limit_s) {
    const double started_at = cluster_->now();
    EXPECT_TRUE(
        cluster_->RunUntil([&] { return CountFailureDeclarations(*cluster_, node) > 0; }, limit_s));
    return cluster_->now() - started_at;
  }

  std::optional<MembershipCluster> cluster_;
  std::string leader_, other_;
};

TEST_F(MembershipClusterTest, SuspectsNoNodeWithoutFaults) {
  Start();
  cluster_->RunFor(300);
  EXPECT_EQ(cluster_->suspicions(), 0U);
  EXPECT_EQ(cluster_->handovers().size(), 1U);
}

TEST_F(MembershipClusterTest, KilledLeaderIsDeclaredFailedAndReplacedOnce) {
  Start();
  cluster_->Kill(leader_);
  TimeUntilDeclaredFailed(leader_, 5);
  cluster_->RunFor(60);
  EXPECT_EQ(cluster_->failure_declarations().size(), 1U);
  EXPECT_EQ(cluster_->handovers().size(), 2U);
  EXPECT_EQ(cluster_->ObservedState(AnyNodeExcept(*cluster_, leader_), leader_),
            MemberState::kFailed);
}

// The leader's lease is long here, so that only the failure declaration can cause the handover.
TEST_F(MembershipClusterTest, DeclaringAFrozenLeaderFailedEndsItsLease) {
  Options options;
  options.leader_ttl_s = 30;
  Start(options);
  cluster_->Freeze(leader_);
  EXPECT_TRUE(cluster_->RunUntil([&] { return cluster_->handovers().size() == 2; }, 5));
  EXPECT_NE(cluster_->Leader(), leader_);
}

TEST_F(MembershipClusterTest, FreezeThatEndsDuringSuspicionCausesNoFailure) {
  Start();
  cluster_->Freeze(other_);
  ASSERT_TRUE(cluster_->RunUntil(
      [&] { return cluster_->ObservedState(leader_, other_) == MemberState::kSuspect; }, 5));
  cluster_->Resume(other_);
  cluster_->RunFor(30);
  EXPECT_TRUE(cluster_->failure_declarations().empty());
  EXPECT_TRUE(cluster_->Converged());
}

TEST_F(MembershipClusterTest, SuspectedNodeThatResumesBeforeConfirmationRefutes) {
  Start();
  cluster_->Freeze(other_);
  ASSERT_TRUE(cluster_->RunUntil(
      [&] { return cluster_->Record(other_)->state == MemberState::kSuspect; }, 5));
  const MemberRecord suspected = *cluster_->Record(other_);
  cluster_->Resume(other_);
  cluster_->RunFor(30);
  EXPECT_TRUE(cluster_->failure_declarations().empty());
  const MemberRecord refuted = *cluster_->Record(other_);
  EXPECT_EQ(refuted.state, MemberState::kAlive);
  EXPECT_EQ(refuted.incarnation.session, suspected.incarnation.session);
  EXPECT_GT(refuted.incarnation.refutation, suspected.incarnation.refutation);
}

// The frozen node resumes after its failure declaration was sent and before it is executed. The
// declaration and the node's refutation compete: whichever is executed first takes effect, and the
// other one fails on its precondition.
TEST_F(MembershipClusterTest, ResumeDuringAFailureDeclarationHasOneOutcome) {
  Start();
  const uint64_t session = cluster_->Record(other_)->incarnation.session;
  cluster_->OnFailureDeclarationSent([&](const std::string& /*by*/) { cluster_->Resume(other_); });
  cluster_->Freeze(other_);
  cluster_->RunFor(30);
  EXPECT_LE(cluster_->failure_declarations().size(), 1U);
  EXPECT_TRUE(cluster_->Converged());
  const uint64_t session_after = cluster_->Record(other_)->incarnation.session;
  EXPECT_EQ(session_after, session + cluster_->failure_declarations().size());
}

TEST_F(MembershipClusterTest, FailedNodeThatResumesJoinsWithANewSession) {
  Start();
  const uint64_t session = cluster_->Record(leader_)->incarnation.session;
  cluster_->Freeze(leader_);
  TimeUntilDeclaredFailed(leader_, 5);
  cluster_->RunFor(1);
  cluster_->Resume(leader_);
  EXPECT_TRUE(cluster_->RunUntil([&] { return cluster_->Converged(); }, kSettleS));
  EXPECT_EQ(cluster_->Record(leader_)->incarnation.session, session + 1);
  EXPECT_EQ(cluster_->failure_declarations().size(), 1U);
  EXPECT_EQ(cluster_->handovers().size(), 2U);
}

TEST_F(MembershipClusterTest, TwoNodesThatSuspectEachOtherBothStayWhileTheStateServiceIsReachable) {
  Options options;
  options.nodes = 2;
  Start(options);
  cluster_->Cut("node-0", "node-1", true);
  cluster_->RunFor(120);
  EXPECT_TRUE(cluster_->failure_declarations().empty());
  EXPECT_GT(cluster_->suspicions(), 0U);
  EXPECT_LT(cluster_->suspicions(), 30U) << "each refuted suspicion must delay the next one";
  EXPECT_EQ(cluster_->handovers().size(), 1U);
}

// If two nodes have recorded suspicions of each other, at most one can be declared failed: each
// write has a precondition on the record of its writer.
TEST_F(MembershipClusterTest,
       OfTwoPartitionedNodesOnlyTheOneWithoutTheStateServiceIsDeclaredFailed) {
  Options options;
  options.nodes = 2;
  Start(options);
  cluster_->Cut("node-0", "node-1", true);
  cluster_->CutFromState("node-1", true);
  TimeUntilDeclaredFailed("node-1", 10);
  cluster_->RunFor(10);
  EXPECT_EQ(cluster_->failure_declarations().size(), 1U);
  cluster_->Cut("node-0", "node-1", false);
  cluster_->CutFromState("node-1", false);
  EXPECT_TRUE(cluster_->RunUntil([&] { return cluster_->Converged(); }, kSettleS));
  EXPECT_EQ(CountFailureDeclarations(*cluster_, "node-0"), 0U);
}

TEST_F(MembershipClusterTest, PauseOfAllNodesCausesNoSuspicion) {
  Start();
  for (const std::string& name : cluster_->names()) cluster_->Freeze(name);
  cluster_->RunFor(20);
  for (const std::string& name : cluster_->names()) cluster_->Resume(name);
  cluster_->RunFor(30);
  EXPECT_TRUE(cluster_->failure_declarations().empty());
  EXPECT_EQ(cluster_->suspicions(), 0U);
  EXPECT_TRUE(cluster_->Converged());
}

TEST_F(MembershipClusterTest, NodeThatAThirdNodeReachesIsNotDeclaredFailed) {
  Start();
  const std::string third = cluster_->Name(3 - (leader_.back() - '0') - (other_.back() - '0'));
  cluster_->CutOneWay(leader_, other_, true);
  cluster_->RunFor(60);
  EXPECT_TRUE(cluster_->failure_declarations().empty());
  EXPECT_EQ(cluster_->suspicions(), 0U);
  EXPECT_EQ(cluster_->ObservedState(third, other_), MemberState::kAlive);
  EXPECT_EQ(cluster_->handovers().size(), 1U);
}

TEST_F(MembershipClusterTest, SlowLinkNearTheSilenceThresholdRaisesTheThreshold) {
  Options options;
  options.probe_s = 0.25;  // suspected after 0.75 s plus the usual round trip
  Start(options);
  for (const std::string& name : cluster_->names()) {
    if (name != leader_) cluster_->SetDelay(leader_, name, 0.3);
  }
  cluster_->RunFor(120);
  EXPECT_TRUE(cluster_->failure_declarations().empty());
  EXPECT_EQ(cluster_->handovers().size(), 1U);
}

TEST_F(MembershipClusterTest, IntermittentPartitionCausesNoHandover) {
  Start();
  for (int i = 0; i < 40; ++i) {
    for (const std::string& name : cluster_->names()) {
      if (name != leader_) cluster_->Cut(leader_, name, i % 2 == 0);
    }
    cluster_->RunFor(3);
  }
  EXPECT_TRUE(cluster_->failure_declarations().empty());
  EXPECT_EQ(cluster_->handovers().size(), 1U);
  EXPECT_LT(cluster_->suspicions(), 20U);
}

TEST_F(MembershipClusterTest, FreezeOfTheDeclaringNodeDoesNotPreventTheHandover) {
  Options options;
  options.leader_ttl_s = 30;
  Start(options);
  std::string declaring_node;
  cluster_->OnFailureDeclarationSent([&](const std::string& by) {
    declaring_node = by;
    cluster_->Freeze(by);
  });
  cluster_->Kill(leader_);
  TimeUntilDeclaredFailed(leader_, 5);
  cluster_->RunFor(10);
  ASSERT_FALSE(declaring_node.empty());
  EXPECT_EQ(CountFailureDeclarations(*cluster_, leader_), 1U);
  EXPECT_EQ(cluster_->handovers().size(), 2U) << "the third node must take over";
  cluster_->Resume(declaring_node);
  EXPECT_TRUE(cluster_->RunUntil([&] { return cluster_->Converged(); }, kSettleS));
  EXPECT_EQ(CountFailureDeclarations(*cluster_, leader_), 1U);
}

TEST_F(MembershipClusterTest, LostAnswerToAFailureDeclarationCausesNoSecondOne) {
  Start();
  cluster_->LoseFailureDeclarationAnswers(3);
  cluster_->Kill(leader_);
  TimeUntilDeclaredFailed(leader_, 5);
  cluster_->RunFor(30);
  EXPECT_EQ(cluster_->failure_declarations().size(), 1U);
}

TEST_F(MembershipClusterTest, AnotherNodeDeclaresTheFailureIfTheSuspectingNodeDies) {
  Options options;
  options.nodes = 4;
  Start(options);
  cluster_->Kill(leader_);
  ASSERT_TRUE(cluster_->RunUntil(
      [&] { return cluster_->Record(leader_)->state == MemberState::kSuspect; }, 5));
  cluster_->Kill(cluster_->Record(leader_)->by);
  TimeUntilDeclaredFailed(leader_, 20);
}

// The process restarts before any node has noticed that it ended, and answers of the earlier
// process are still in flight. They must not count as proof that the new process is alive.
TEST_F(MembershipClusterTest, LateAnswersOfAnEarlierProcessDoNotKeepANodeAlive) {
  Start();
  for (int i = 0; i < 100; ++i) cluster_->DelayAnswer(other_, leader_, 1 + 0.1 * i);
  cluster_->Restart(other_);
  ASSERT_TRUE(cluster_->RunUntil([&] { return cluster_->Converged(); }, kSettleS));
  EXPECT_TRUE(cluster_->failure_declarations().empty());
  cluster_->Kill(other_);
  const double took_s = TimeUntilDeclaredFailed(other_, 8);
  EXPECT_LT(took_s, 3);
}

TEST_F(MembershipClusterTest, RollingRestartCausesNoFailure) {
  Start();
  for (const std::string& name : cluster_->names()) {
    cluster_->Restart(name);
    cluster_->RunFor(0.3);
    EXPECT_TRUE(cluster_->RunUntil([&] { return cluster_->Converged(); }, kSettleS));
  }
  EXPECT_TRUE(cluster_->failure_declarations().empty());
  EXPECT_LE(cluster_->handovers().size(), 4U);
}

TEST_F(MembershipClusterTest, ClockDriftCausesNoSuspicion) {
  Start();
  cluster_->SetClockRate("node-0", 1.05);
  cluster_->SetClockRate("node-1", 0.95);
  cluster_->RunFor(300);
  EXPECT_EQ(cluster_->suspicions(), 0U);
  cluster_->Kill("node-2");
  TimeUntilDeclaredFailed("node-2", 5);
}

TEST_F(MembershipClusterTest, NoNodeIsDeclaredFailedDuringAStateServiceOutage) {
  Start();
  cluster_->Kill(other_);
  ASSERT_TRUE(cluster_->RunUntil(
      [&] { return cluster_->ObservedState(leader_, other_) == MemberState::kSuspect; }, 5));
  cluster_->SetStateOutage(true);
  cluster_->RunFor(60);
  EXPECT_TRUE(cluster_->failure_declarations().empty());
  EXPECT_EQ(cluster_->ObservedState(leader_, other_), MemberState::kSuspect);
  cluster_->SetStateOutage(false);
  TimeUntilDeclaredFailed(other_, 5);
}

TEST_F(MembershipClusterTest, SingleNodeLeadsWithoutSuspicion) {
  Options options;
  options.nodes = 1;
  Start(options);
  cluster_->RunFor(60);
  EXPECT_EQ(cluster_->suspicions(), 0U);
  EXPECT_EQ(cluster_->handovers().size(), 1U);
}

// A node that is cut off from all other nodes, but not from the state service, learns from the
// refutations of its suspicions that it may be at fault itself.
TEST_F(MembershipClusterTest, IsolatedNodeDeclaresNoOtherNodeFailed) {
  Start();
  for (const std::string& name : cluster_->names()) {
    if (name != other_) cluster_->Cut(other_, name, true);
  }
  cluster_->RunFor(60);
  EXPECT_TRUE(cluster_->failure_declarations().empty());
  EXPECT_EQ(cluster_->handovers().size(), 1U);
}

// Random freezes, kills, restarts, partitions and outages over many seeds. In every run, a session
// is declared failed at most once, and never while the state service is unavailable. After all
// faults are removed, every node becomes a member again and one of them leads.
class MembershipRandomFaultsTest : public testing::TestWithParam<int> {
 protected:
  void InjectRandomFault(MembershipCluster& cluster, std::mt19937_64& random) {
    std::uniform_int_distribution<size_t> any(0, cluster.names().size() - 1);
    const std::string a = cluster.names()[any(random)];
    const std::string b = cluster.names()[any(random)];
    switch (std::uniform_int_distribution<int>(0, 8)(random)) {
      case 0:
        cluster.Freeze(a);
        break;
      case 1:
        cluster.Resume(a);
        break;
      case 2:
        cluster.Kill(a);
        killed_.insert(a);
        break;
      case 3:
        cluster.Restart(a);
        killed_.erase(a);
        break;
      case 4:
        if (a != b) cluster.CutOneWay(a, b, true);
        break;
      case 5:
        if (a != b) cluster.Cut(a, b, false);
        break;
      case 6:
        cluster.CutFromState(a, true);
        break;
      case 7:
        cluster.CutFromState(a, false);
        break;
      default:
        outage_ = !outage_;
        cluster.SetStateOutage(outage_);
        break;
    }
  }
  void RemoveFaults(MembershipCluster& cluster) {
    if (outage_) cluster.SetStateOutage(false);
    for (const std::string& a : cluster.names()) {
      cluster.CutFromState(a, false);
      for (const std::string& b : cluster.names()) {
        if (a != b) cluster.CutOneWay(a, b, false);
      }
      cluster.Resume(a);
      if (killed_.contains(a)) cluster.Restart(a);
    }
  }

  std::set<std::string> killed_;
  bool outage_ = false;
};

TEST_P(MembershipRandomFaultsTest, DeclaresEachSessionFailedAtMostOnceAndRecovers) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  Options options;
  options.seed = static_cast<uint64_t>(GetParam());
  options.nodes = 2 + GetParam() % 4;
  options.loss = 0.01;
  MembershipCluster cluster(options);
  std::mt19937_64 random(options.seed);
  std::exponential_distribution<double> pause(1.0);
  for (int i = 0; i < 120; ++i) {
    InjectRandomFault(cluster, random);
    cluster.RunFor(pause(random));
  }
  RemoveFaults(cluster);
  EXPECT_TRUE(cluster.RunUntil([&] { return cluster.Converged(); }, 120));
  std::set<std::pair<std::string, uint64_t>> failed_sessions;
  for (const auto& declaration : cluster.failure_declarations()) {
    EXPECT_TRUE(failed_sessions.insert({declaration.node, declaration.session}).second)
        << declaration.node << " session " << declaration.session << " was declared failed twice";
  }
  EXPECT_EQ(cluster.FalseFailureDeclarations(), 0U)
      << "nodes were declared failed that could have refuted";
  const size_t handovers = cluster.handovers().size();
  cluster.RunFor(60);
  EXPECT_EQ(cluster.handovers().size(), handovers)
      << "leadership must not move after the faults are removed";
}

INSTANTIATE_TEST_SUITE_P(Seeds, MembershipRandomFaultsTest, testing::Range(1, 61));

}  // namespace
}  // namespace hallpier
