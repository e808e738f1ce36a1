// Membership of several nodes in fake time, failure by failure. docs/membership.md names the guard
// behind each.
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

size_t VerdictsOn(const MembershipCluster& cluster, const std::string& node) {
  const auto& all = cluster.verdicts();
  return static_cast<size_t>(
      std::count_if(all.begin(), all.end(), [&](const auto& v) { return v.node == node; }));
}

std::string AnotherThan(const MembershipCluster& cluster, const std::string& node) {
  for (const std::string& name : cluster.names()) {
    if (name != node) return name;
  }
  return "";
}

class ClusterTest : public testing::Test {
 protected:
  void Start(Options options) {
    cluster_.emplace(options);
    Settle(*cluster_);
    leader_ = cluster_->Leader();
    other_ = AnotherThan(*cluster_, leader_);
  }
  void Start() { Start(Options()); }
  // Until its first verdict; the time that it took.
  double UntilVerdict(const std::string& node, double limit_s) {
    const double began = cluster_->now();
    EXPECT_TRUE(cluster_->RunUntil([&] { return VerdictsOn(*cluster_, node) > 0; }, limit_s));
    return cluster_->now() - began;
  }

  std::optional<MembershipCluster> cluster_;
  std::string leader_, other_;
};

TEST_F(ClusterTest, NobodyIsSuspectWhileAllAreWell) {
  Start();
  cluster_->RunFor(300);
  EXPECT_EQ(cluster_->suspicions(), 0U);
  EXPECT_EQ(cluster_->handovers().size(), 1U);
}

TEST_F(ClusterTest, AKilledNodeIsJudgedOnceAndALeaderIsFollowedOnce) {
  Start();
  cluster_->Kill(leader_);
  UntilVerdict(leader_, 5);
  cluster_->RunFor(60);
  EXPECT_EQ(cluster_->verdicts().size(), 1U);
  EXPECT_EQ(cluster_->handovers().size(), 2U);
  EXPECT_EQ(cluster_->ObservedState(AnotherThan(*cluster_, leader_), leader_),
            MemberState::kFailed);
}

// Where the leader's own lease is long, the verdict is what hands over.
TEST_F(ClusterTest, AVerdictEndsTheLeaseOfAFrozenLeader) {
  Options options;
  options.leader_ttl_s = 30;
  Start(options);
  cluster_->Freeze(leader_);
  EXPECT_TRUE(cluster_->RunUntil([&] { return cluster_->handovers().size() == 2; }, 5));
  EXPECT_NE(cluster_->Leader(), leader_);
}

TEST_F(ClusterTest, AFreezeThatEndsBeforeTheVerdictIsForgiven) {
  Start();
  cluster_->Freeze(other_);
  ASSERT_TRUE(cluster_->RunUntil(
      [&] { return cluster_->ObservedState(leader_, other_) == MemberState::kSuspect; }, 5));
  cluster_->Resume(other_);
  cluster_->RunFor(30);
  EXPECT_TRUE(cluster_->verdicts().empty());
  EXPECT_TRUE(cluster_->Converged());
}

TEST_F(ClusterTest, ASuspectThatWakesInTheTimeOfConfirmationRefutes) {
  Start();
  cluster_->Freeze(other_);
  ASSERT_TRUE(cluster_->RunUntil(
      [&] { return cluster_->Record(other_)->state == MemberState::kSuspect; }, 5));
  const MemberRecord suspected = *cluster_->Record(other_);
  cluster_->Resume(other_);
  cluster_->RunFor(30);
  EXPECT_TRUE(cluster_->verdicts().empty());
  const MemberRecord refuted = *cluster_->Record(other_);
  EXPECT_EQ(refuted.state, MemberState::kAlive);
  EXPECT_EQ(refuted.incarnation.session, suspected.incarnation.session);
  EXPECT_GT(refuted.incarnation.refutation, suspected.incarnation.refutation);
}

// The verdict was sent, and the frozen node is back before it is carried out: whichever is first
// decides, and the other loses by its guard.
TEST_F(ClusterTest, AWakingAtTheMomentOfTheVerdictLeavesOneOutcome) {
  Start();
  const uint64_t session = cluster_->Record(other_)->incarnation.session;
  cluster_->OnVerdictSent([&](const std::string& /*by*/) { cluster_->Resume(other_); });
  cluster_->Freeze(other_);
  cluster_->RunFor(30);
  EXPECT_LE(cluster_->verdicts().size(), 1U);
  EXPECT_TRUE(cluster_->Converged());
  const uint64_t now = cluster_->Record(other_)->incarnation.session;
  EXPECT_EQ(now, session + cluster_->verdicts().size());
}

TEST_F(ClusterTest, AJudgedNodeThatWakesJoinsAsANewSession) {
  Start();
  const uint64_t session = cluster_->Record(leader_)->incarnation.session;
  cluster_->Freeze(leader_);
  UntilVerdict(leader_, 5);
  cluster_->RunFor(1);
  cluster_->Resume(leader_);
  EXPECT_TRUE(cluster_->RunUntil([&] { return cluster_->Converged(); }, kSettleS));
  EXPECT_EQ(cluster_->Record(leader_)->incarnation.session, session + 1);
  EXPECT_EQ(cluster_->verdicts().size(), 1U);
  EXPECT_EQ(cluster_->handovers().size(), 2U);
}

TEST_F(ClusterTest, TwoThatSuspectEachOtherBothLiveWhileBothReachTheStateService) {
  Options options;
  options.nodes = 2;
  Start(options);
  cluster_->Cut("node-0", "node-1", true);
  cluster_->RunFor(120);
  EXPECT_TRUE(cluster_->verdicts().empty());
  EXPECT_GT(cluster_->suspicions(), 0U);
  EXPECT_LT(cluster_->suspicions(), 30U) << "each wrong one makes the next later";
  EXPECT_EQ(cluster_->handovers().size(), 1U);
}

// Two recorded suspicions of each other can't both lead to a verdict: each is guarded by the
// writer's own record.
TEST_F(ClusterTest, OfTwoThatAreFrozenApartAndSuspectEachOtherOnlyOneIsJudged) {
  Options options;
  options.nodes = 2;
  Start(options);
  cluster_->Cut("node-0", "node-1", true);
  cluster_->CutFromState("node-1", true);
  UntilVerdict("node-1", 10);
  cluster_->RunFor(10);
  EXPECT_EQ(cluster_->verdicts().size(), 1U);
  cluster_->Cut("node-0", "node-1", false);
  cluster_->CutFromState("node-1", false);
  EXPECT_TRUE(cluster_->RunUntil([&] { return cluster_->Converged(); }, kSettleS));
  EXPECT_EQ(VerdictsOn(*cluster_, "node-0"), 0U);
}

TEST_F(ClusterTest, APauseOfTheWholeMachineIsNobodysFailure) {
  Start();
  for (const std::string& name : cluster_->names()) cluster_->Freeze(name);
  cluster_->RunFor(20);
  for (const std::string& name : cluster_->names()) cluster_->Resume(name);
  cluster_->RunFor(30);
  EXPECT_TRUE(cluster_->verdicts().empty());
  EXPECT_EQ(cluster_->suspicions(), 0U);
  EXPECT_TRUE(cluster_->Converged());
}

TEST_F(ClusterTest, ANodeThatOneOtherStillHearsIsNotJudged) {
  Start();
  const std::string third = cluster_->Name(3 - (leader_.back() - '0') - (other_.back() - '0'));
  cluster_->CutOneWay(leader_, other_, true);
  cluster_->RunFor(60);
  EXPECT_TRUE(cluster_->verdicts().empty());
  EXPECT_EQ(cluster_->suspicions(), 0U);
  EXPECT_EQ(cluster_->ObservedState(third, other_), MemberState::kAlive);
  EXPECT_EQ(cluster_->handovers().size(), 1U);
}

TEST_F(ClusterTest, ASlowLinkNearTheThresholdRaisesIt) {
  Options options;
  options.probe_s = 0.25;  // suspect after 0.75 s and what answers usually take
  Start(options);
  for (const std::string& name : cluster_->names()) {
    if (name != leader_) cluster_->SetDelay(leader_, name, 0.3);
  }
  cluster_->RunFor(120);
  EXPECT_TRUE(cluster_->verdicts().empty());
  EXPECT_EQ(cluster_->handovers().size(), 1U);
}

TEST_F(ClusterTest, ACutThatComesAndGoesMovesNothing) {
  Start();
  for (int i = 0; i < 40; ++i) {
    for (const std::string& name : cluster_->names()) {
      if (name != leader_) cluster_->Cut(leader_, name, i % 2 == 0);
    }
    cluster_->RunFor(3);
  }
  EXPECT_TRUE(cluster_->verdicts().empty());
  EXPECT_EQ(cluster_->handovers().size(), 1U);
  EXPECT_LT(cluster_->suspicions(), 20U);
}

TEST_F(ClusterTest, AnAccuserFrozenInTheMidstOfItsVerdictChangesNothing) {
  Options options;
  options.leader_ttl_s = 30;
  Start(options);
  std::string accuser;
  cluster_->OnVerdictSent([&](const std::string& by) {
    accuser = by;
    cluster_->Freeze(by);
  });
  cluster_->Kill(leader_);
  UntilVerdict(leader_, 5);
  cluster_->RunFor(10);
  ASSERT_FALSE(accuser.empty());
  EXPECT_EQ(VerdictsOn(*cluster_, leader_), 1U);
  EXPECT_EQ(cluster_->handovers().size(), 2U) << "the third node takes over";
  cluster_->Resume(accuser);
  EXPECT_TRUE(cluster_->RunUntil([&] { return cluster_->Converged(); }, kSettleS));
  EXPECT_EQ(VerdictsOn(*cluster_, leader_), 1U);
}

TEST_F(ClusterTest, AVerdictWhoseAnswerIsLostStandsOnce) {
  Start();
  cluster_->LoseVerdictAnswers(3);
  cluster_->Kill(leader_);
  UntilVerdict(leader_, 5);
  cluster_->RunFor(30);
  EXPECT_EQ(cluster_->verdicts().size(), 1U);
}

TEST_F(ClusterTest, AnotherNodeGoesOnWhereTheAccuserDied) {
  Options options;
  options.nodes = 4;
  Start(options);
  cluster_->Kill(leader_);
  ASSERT_TRUE(cluster_->RunUntil(
      [&] { return cluster_->Record(leader_)->state == MemberState::kSuspect; }, 5));
  cluster_->Kill(cluster_->Record(leader_)->by);
  UntilVerdict(leader_, 20);
}

// The process is back before anybody has noticed, and answers of the former one are still on their
// way: they prove nothing of the new one.
TEST_F(ClusterTest, LateAnswersOfAFormerProcessKeepNobodyAlive) {
  Start();
  for (int i = 0; i < 100; ++i) cluster_->DelayAnswer(other_, leader_, 1 + 0.1 * i);
  cluster_->Restart(other_);
  ASSERT_TRUE(cluster_->RunUntil([&] { return cluster_->Converged(); }, kSettleS));
  EXPECT_TRUE(cluster_->verdicts().empty());
  cluster_->Kill(other_);
  const double took_s = UntilVerdict(other_, 8);
  EXPECT_LT(took_s, 3);
}

TEST_F(ClusterTest, ARollingRestartIsNoFailure) {
  Start();
  for (const std::string& name : cluster_->names()) {
    cluster_->Restart(name);
    cluster_->RunFor(0.3);
    EXPECT_TRUE(cluster_->RunUntil([&] { return cluster_->Converged(); }, kSettleS));
  }
  EXPECT_TRUE(cluster_->verdicts().empty());
  EXPECT_LE(cluster_->handovers().size(), 4U);
}

TEST_F(ClusterTest, ClocksThatRunFastOrSlowSuspectNobody) {
  Start();
  cluster_->SetClockRate("node-0", 1.05);
  cluster_->SetClockRate("node-1", 0.95);
  cluster_->RunFor(300);
  EXPECT_EQ(cluster_->suspicions(), 0U);
  cluster_->Kill("node-2");
  UntilVerdict("node-2", 5);
}

TEST_F(ClusterTest, WithoutTheStateServiceNobodyIsJudged) {
  Start();
  cluster_->Kill(other_);
  ASSERT_TRUE(cluster_->RunUntil(
      [&] { return cluster_->ObservedState(leader_, other_) == MemberState::kSuspect; }, 5));
  cluster_->SetStateOutage(true);
  cluster_->RunFor(60);
  EXPECT_TRUE(cluster_->verdicts().empty());
  EXPECT_EQ(cluster_->ObservedState(leader_, other_), MemberState::kSuspect);
  cluster_->SetStateOutage(false);
  UntilVerdict(other_, 5);
}

TEST_F(ClusterTest, ANodeAloneNeitherSuspectsNorWaits) {
  Options options;
  options.nodes = 1;
  Start(options);
  cluster_->RunFor(60);
  EXPECT_EQ(cluster_->suspicions(), 0U);
  EXPECT_EQ(cluster_->handovers().size(), 1U);
}

// Whoever is cut from all others, and not from the state service, learns from the refutations that
// the fault may be its own.
TEST_F(ClusterTest, AnIsolatedNodeJudgesNobody) {
  Start();
  for (const std::string& name : cluster_->names()) {
    if (name != other_) cluster_->Cut(other_, name, true);
  }
  cluster_->RunFor(60);
  EXPECT_TRUE(cluster_->verdicts().empty());
  EXPECT_EQ(cluster_->handovers().size(), 1U);
}

// Random freezes, kills, restarts, cuts and outages over many seeds. Whatever happens: one verdict
// at the most for a session, none without the state service; and once all is mended, every node is
// a member again and one leads.
class RandomFaultsTest : public testing::TestWithParam<int> {
 protected:
  void Strike(MembershipCluster& cluster, std::mt19937_64& random) {
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
  void Mend(MembershipCluster& cluster) {
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

TEST_P(RandomFaultsTest, GiveOneVerdictForASessionAndEndWell) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  Options options;
  options.seed = static_cast<uint64_t>(GetParam());
  options.nodes = 2 + GetParam() % 4;
  options.loss = 0.01;
  MembershipCluster cluster(options);
  std::mt19937_64 random(options.seed);
  std::exponential_distribution<double> pause(1.0);
  for (int i = 0; i < 120; ++i) {
    Strike(cluster, random);
    cluster.RunFor(pause(random));
  }
  Mend(cluster);
  EXPECT_TRUE(cluster.RunUntil([&] { return cluster.Converged(); }, 120));
  std::set<std::pair<std::string, uint64_t>> judged;
  for (const auto& verdict : cluster.verdicts()) {
    EXPECT_TRUE(judged.insert({verdict.node, verdict.session}).second)
        << verdict.node << " session " << verdict.session << " was judged twice";
  }
  EXPECT_EQ(cluster.FalseVerdicts(), 0U) << "of nodes that could have refuted";
  const size_t handovers = cluster.handovers().size();
  cluster.RunFor(60);
  EXPECT_EQ(cluster.handovers().size(), handovers) << "all is well, and the lead moves";
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaultsTest, testing::Range(1, 61));

}  // namespace
}  // namespace hallpier
