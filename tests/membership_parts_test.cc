// Unit tests of membership: LivenessTracker, LocalHealth, HeartbeatCounter, HandoverPolicy,
// MemberTable, and the encoding of records and messages with their invalid forms.
#include <gtest/gtest.h>

#include "membership/handover_policy.h"
#include "membership/heartbeat_counter.h"
#include "membership/liveness_tracker.h"
#include "membership/local_health.h"
#include "membership/member_record.h"
#include "membership/member_table.h"
#include "model/member.h"
#include "store/keys.h"
#include "store/records.h"
#include "wire/peer_codec.h"
#include "wire/peer_messages.h"

namespace hallpier {
namespace {

using membership::HandoverPolicy;
using membership::LivenessTracker;
using membership::MemberRecord;
using membership::MemberTable;
using model::LeadershipFitness;
using model::MemberState;

constexpr membership::ProbeOptions kProbeOptions{.probe_s = 0.25, .missed_probes = 3};

TEST(LivenessTracker, SilenceThresholdFollowsTheUsualRoundTrip) {
  LivenessTracker quick(kProbeOptions, 0), slow(kProbeOptions, 0);
  for (int i = 0; i < 50; ++i) {
    quick.OnProbeResponse(i, i + 0.002);
    slow.OnProbeResponse(i, i + 0.5);
  }
  EXPECT_NEAR(quick.SilenceThresholdS(1, 50), 0.752, 0.005);
  EXPECT_GT(slow.SilenceThresholdS(1, 50), 1.2);
  EXPECT_FALSE(slow.Silent(1, 50.1));
  EXPECT_TRUE(quick.Silent(1, 50.1));
  EXPECT_FALSE(quick.Silent(2, 50.1)) << "a node with poor local health waits longer";
}

TEST(LivenessTracker, DelayedResponseProvesLivenessOnlyAtTheTimeOfItsProbe) {
  LivenessTracker tracker(kProbeOptions, 0);
  tracker.OnProbeResponse(1, 60);
  EXPECT_EQ(*tracker.last_alive_at(), 1);
  EXPECT_TRUE(tracker.Silent(1, 60));
  tracker.ResetSilence(60);
  EXPECT_FALSE(tracker.Silent(1, 60));
  EXPECT_EQ(*tracker.last_alive_at(), 1)
      << "resetting the silence must not count as proof of life for other nodes";
}

TEST(LivenessTracker, RefutedSuspicionsRaiseTheThresholdTemporarily) {
  LivenessTracker tracker(kProbeOptions, 0);
  const double before = tracker.SilenceThresholdS(1, 0);
  for (int i = 0; i < 20; ++i) tracker.OnRefuted(1);
  EXPECT_EQ(tracker.SilenceThresholdS(1, 1), 64 * before);
  EXPECT_EQ(tracker.SilenceThresholdS(1, 10000), before);
}

TEST(LocalHealth, DegradesAtOnceAndRecoversGradually) {
  membership::LocalHealth health;
  health.OnPause();
  EXPECT_EQ(health.score(), 2);
  for (int i = 0; i < 9; ++i) health.OnNoAnswers();
  EXPECT_EQ(health.score(), 4);
  for (int i = 0; i < 3; ++i) health.OnGoodInterval();
  EXPECT_EQ(health.score(), 3);
  for (int i = 0; i < 9; ++i) health.OnGoodInterval();
  EXPECT_EQ(health.score(), 0);
}

TEST(HeartbeatCounter, ReturnsTheCountOfTheLastCompleteInterval) {
  membership::HeartbeatCounter counter(2, 0);
  for (int i = 0; i < 5; ++i) counter.Add(1);
  EXPECT_EQ(counter.Last(1), 0U);
  EXPECT_FALSE(counter.Complete(1));
  EXPECT_EQ(counter.Last(2.5), 5U);
  EXPECT_TRUE(counter.Complete(2.5));
  EXPECT_EQ(counter.Last(4.5), 0U);
  counter.Add(5);
  EXPECT_EQ(counter.Last(60), 0U) << "the last heartbeat is older than the last complete interval";
}

class HandoverPolicyTest : public testing::Test {
 protected:
  static constexpr size_t kMachines = 100;
  HandoverPolicyTest() { policy_.OnLeaderChanged(0); }
  static LeadershipFitness HealthyFitness(uint64_t heartbeats) {
    return {.leading = false,
            .reaches_state_service = true,
            .event_loop_lag_ms = 0,
            .recent_heartbeats = heartbeats};
  }
  // Calls Decide() every 0.5 s and returns the successor that it names; std::nullopt if it names
  // none within `duration_s`. The first call is late enough that the minimum interval since the
  // change of the leader at time 0 has passed.
  std::optional<std::string> FindHandoverWithin(
      double duration_s, const LeadershipFitness& own,
      const std::map<std::string, LeadershipFitness>& others) {
    for (double end = now_ + duration_s; now_ < end; now_ += 0.5) {
      if (auto handover = policy_.Decide(own, kMachines, others, now_)) return handover->to;
    }
    return std::nullopt;
  }
  HandoverPolicy policy_{{.heartbeat_interval_s = 4,
                          .lease_s = 20,
                          .min_handover_interval_leases = 1,
                          .max_relayed_leases = 0.25}};
  double now_ = 100;
};

// The counts cover half a heartbeat interval, in which half of the machines report.
TEST_F(HandoverPolicyTest, HandsOverToTheNodeThatMostWorkersReach) {
  EXPECT_EQ(FindHandoverWithin(20, HealthyFitness(5),
                               {{"b", HealthyFitness(11)}, {"c", HealthyFitness(15)}}),
            "c");
}

TEST_F(HandoverPolicyTest, DoesNotHandOverWhenTheWorkersReachNoOtherNode) {
  EXPECT_EQ(FindHandoverWithin(60, HealthyFitness(5), {{"b", HealthyFitness(5)}}), std::nullopt);
}

TEST_F(HandoverPolicyTest, DoesNotHandOverForADipOfHalfAnInterval) {
  EXPECT_EQ(FindHandoverWithin(2.5, HealthyFitness(5), {{"b", HealthyFitness(45)}}), std::nullopt);
  EXPECT_EQ(FindHandoverWithin(2.5, HealthyFitness(50), {{"b", HealthyFitness(0)}}), std::nullopt);
  EXPECT_EQ(FindHandoverWithin(2.5, HealthyFitness(5), {{"b", HealthyFitness(45)}}), std::nullopt);
}

TEST_F(HandoverPolicyTest, LeaderWithADelayedEventLoopHandsOverToANodeThatRunsOnTime) {
  LeadershipFitness delayed = HealthyFitness(100);
  delayed.event_loop_lag_ms = 2000;
  LeadershipFitness similarly_delayed = HealthyFitness(0);
  similarly_delayed.event_loop_lag_ms = 1500;
  EXPECT_EQ(FindHandoverWithin(60, delayed, {{"b", similarly_delayed}}), std::nullopt)
      << "the other node is delayed as well";
  EXPECT_EQ(FindHandoverWithin(60, delayed, {{"b", HealthyFitness(0)}}), "b");
}

TEST_F(HandoverPolicyTest, LeaderWithoutTheStateServiceHandsOverOnlyToANodeThatReachesIt) {
  LeadershipFitness disconnected = HealthyFitness(100);
  disconnected.reaches_state_service = false;
  EXPECT_EQ(FindHandoverWithin(60, disconnected, {{"b", disconnected}}), std::nullopt)
      << "no node reaches the state service";
  EXPECT_EQ(FindHandoverWithin(4, disconnected, {{"b", HealthyFitness(0)}}), std::nullopt);
  EXPECT_EQ(FindHandoverWithin(4, disconnected, {{"b", HealthyFitness(0)}}), "b");
}

TEST_F(HandoverPolicyTest, EachRecentChangeDoublesTheMinimumInterval) {
  const std::map<std::string, LeadershipFitness> others = {{"b", HealthyFitness(90)}};
  for (double at : {100.0, 101.0, 102.0}) policy_.OnLeaderChanged(at);
  now_ = 102;
  EXPECT_EQ(FindHandoverWithin(79, HealthyFitness(5), others), std::nullopt)
      << "20 s, doubled twice";
  EXPECT_EQ(FindHandoverWithin(10, HealthyFitness(5), others), "b");
}

TEST(MemberRecordFormat, RoundTripsAndReadsInvalidRecordsAsAbsent) {
  const MemberRecord record{MemberState::kFailed, {7, 2}, UINT64_MAX, "node-1", "does not answer"};
  EXPECT_EQ(membership::ReadMember(membership::WriteMember(record)), record);
  for (const char* invalid :
       {"", "[]", "{}", R"({"state":"odd","session":1})", R"({"state":"alive"})",
        R"({"state":"alive","session":0})", R"({"state":"alive","session":-1})",
        R"({"state":"alive","session":"1"})"}) {
    EXPECT_EQ(membership::ReadMember(invalid), std::nullopt) << invalid;
  }
  const store::ParsedKey key = store::ParseKey(store::MemberKey("node-1"));
  ASSERT_TRUE(std::holds_alternative<store::MemberKeyName>(key));
  EXPECT_EQ(std::get<store::MemberKeyName>(key).node, "node-1");
}

wire::MemberStatus StatusOf(const std::string& node, model::Incarnation incarnation) {
  wire::MemberStatus status;
  status.node = node;
  status.incarnation = incarnation;
  return status;
}

TEST(MemberMessageCodec, RoundTripsAndRejectsTruncatedMessages) {
  wire::MemberStatus status = StatusOf("node-0", {3, 1});
  status.fitness = {true, false, 250, 4000};
  status.successor = "node-2";
  status.observations = {{"node-1", {2, 0}, MemberState::kSuspect, 1500},
                         {"node-2", {9, 9}, MemberState::kLeft, std::nullopt}};
  const std::string payload = wire::WritePeerMessage(wire::MemberProbe{17, status});
  auto read = wire::ReadPeerMessage(payload);
  ASSERT_TRUE(read);
  EXPECT_EQ(std::get<wire::MemberProbe>(*read).sequence, 17U);
  EXPECT_EQ(std::get<wire::MemberProbe>(*read).status, status);
  for (size_t n = 0; n < payload.size(); ++n) {
    EXPECT_FALSE(wire::ReadPeerMessage(payload.substr(0, n))) << n;
  }
  EXPECT_FALSE(wire::ReadPeerMessage(payload + "x"));
  wire::MembersReport report;
  report.node = "node-0";
  report.enabled = true;
  report.rows = {{"node-1", {2, 1}, MemberState::kSuspect, true, false, 99, {"a", "b"}, "why"}};
  report.handover_to = "node-1";
  read = wire::ReadPeerMessage(wire::WritePeerMessage(report));
  ASSERT_TRUE(read);
  EXPECT_EQ(std::get<wire::MembersReport>(*read), report);
}

TEST(MemberMessageCodec, RejectsACountLargerThanAnyFrame) {
  wire::MemberStatus status = StatusOf("n", {1, 0});
  std::string payload = wire::WritePeerMessage(wire::MemberProbe{1, status});
  payload.pop_back();  // the count of observations, 0
  payload += "\xff\xff\xff\xff\xff\xff\xff\xff\x7f";
  EXPECT_FALSE(wire::ReadPeerMessage(payload));
}

// Tests a single table; the test supplies the member records and the responses to probes.
class MemberTableTest : public testing::Test {
 protected:
  static constexpr uint64_t kInstance = 42;
  MemberTableTest()
      : table_({.node = "node-0",
                .others = {"node-0", "node-1", "node-2"},
                .probes = kProbeOptions,
                .confirm_probes = 3,
                .instance = kInstance},
               0) {
    Record("node-0", {MemberState::kAlive, {1, 0}, kInstance, "", ""}, 10);
    Record("node-1", {MemberState::kAlive, {5, 0}, 7, "", ""}, 11);
    Record("node-2", {MemberState::kAlive, {8, 0}, 9, "", ""}, 12);
  }
  void Record(const std::string& node, const MemberRecord& record, uint64_t version) {
    table_.OnRecord(node, record, version, now_);
  }
  void Advance(double duration_s, const std::vector<std::string>& responding = {}) {
    for (double end = now_ + duration_s; now_ < end;) {
      now_ += kProbeOptions.probe_s;
      for (const std::string& node : responding) {
        table_.OnProbeResponse(StatusOf(node, {node == "node-1" ? 5U : 8U, 0}), now_ - 0.01, now_);
      }
      proposals_ = table_.Tick(now_, true);
    }
  }
  MemberTable table_;
  double now_ = 0;
  std::vector<membership::Proposal> proposals_;
};

TEST_F(MemberTableTest, IgnoresStatusesFromAndObservationsOfUnknownNodes) {
  wire::MemberStatus status = StatusOf("node-9", {1, 0});
  status.observations = {{"node-0", {1, 0}, MemberState::kSuspect, 1}};
  table_.OnProbe(status);
  table_.OnProbeResponse(status, 0, 0);
  EXPECT_EQ(table_.incarnation().refutation, 0U);
  status = StatusOf("node-1", {5, 0});
  status.observations = {{"node-9", {1, 0}, MemberState::kFailed, 1}};
  table_.OnProbeResponse(status, 0, 0);
  EXPECT_EQ(table_.Rows(0).size(), 3U);
}

TEST_F(MemberTableTest, RefutesASuspicionOfTheCurrentIncarnationOnly) {
  wire::MemberStatus status = StatusOf("node-1", {5, 0});
  status.observations = {{"node-0", {2, 0}, MemberState::kSuspect, 1}};
  table_.OnProbe(status);
  EXPECT_EQ(table_.incarnation(), (model::Incarnation{1, 0}))
      << "the session does not belong to this process";
  status.observations = {{"node-0", {1, 3}, MemberState::kSuspect, 1}};
  table_.OnProbe(status);
  EXPECT_EQ(table_.incarnation(), (model::Incarnation{1, 0}))
      << "this process has never reached that refutation";
  status.observations = {{"node-0", {1, 0}, MemberState::kSuspect, 1}};
  table_.OnProbe(status);
  EXPECT_EQ(table_.incarnation(), (model::Incarnation{1, 1}));
}

TEST_F(MemberTableTest, ResponsesOfAnEarlierSessionDoNotKeepANodeAlive) {
  Advance(5, {"node-1", "node-2"});
  EXPECT_TRUE(proposals_.empty());
  for (int i = 0; i < 20; ++i) {
    now_ += kProbeOptions.probe_s;
    table_.OnProbeResponse(StatusOf("node-1", {4, 9}), now_ - 0.01, now_);
    table_.OnProbeResponse(StatusOf("node-2", {8, 0}), now_ - 0.01, now_);
    table_.Tick(now_, true);
  }
  EXPECT_EQ(table_.Rows(now_)[1].state, MemberState::kSuspect);
}

TEST_F(MemberTableTest, ResponsesInTheOlderStatusFormatProveLiveness) {
  for (int i = 0; i < 40; ++i) {
    now_ += kProbeOptions.probe_s;
    table_.OnStatusAnswered("node-1", now_ - 0.01);
    table_.OnProbeResponse(StatusOf("node-2", {8, 0}), now_ - 0.01, now_);
    EXPECT_TRUE(table_.Tick(now_, true).empty());
  }
}

TEST_F(MemberTableTest, NodeWithoutARecordIsNeverSuspected) {
  table_.OnRecord("node-1", std::nullopt, 0, now_);
  Advance(60, {"node-2"});
  EXPECT_EQ(table_.Rows(now_)[1].state, MemberState::kAlive);
  EXPECT_TRUE(proposals_.empty());
}

TEST_F(MemberTableTest, NewerProcessOfTheSameNameSupersedesThisOne) {
  EXPECT_TRUE(table_.IsActiveMember());
  Record("node-0", {MemberState::kAlive, {2, 0}, kInstance + 1, "", ""}, 20);
  EXPECT_TRUE(table_.Superseded());
  EXPECT_FALSE(table_.IsActiveMember());
  Advance(10, {"node-1", "node-2"});
  EXPECT_TRUE(proposals_.empty()) << "a superseded process must not compete for the record";
}

TEST_F(MemberTableTest, ReplacesTheRecordOfAnEarlierProcessWithANewSession) {
  MemberTable restarted({.node = "node-0",
                         .others = {"node-1"},
                         .probes = kProbeOptions,
                         .confirm_probes = 3,
                         .instance = kInstance + 5},
                        0);
  restarted.OnRecord("node-0", MemberRecord{MemberState::kAlive, {6, 2}, kInstance, "", ""}, 30, 0);
  auto proposals = restarted.Tick(0.1, true);
  ASSERT_EQ(proposals.size(), 1U);
  EXPECT_EQ(proposals[0].kind, membership::Proposal::Kind::kJoin);
  EXPECT_EQ(proposals[0].record.incarnation, (model::Incarnation{7, 0}));
  ASSERT_EQ(proposals[0].preconditions.size(), 1U);
  EXPECT_EQ(proposals[0].preconditions[0].version, 30U);
  EXPECT_TRUE(restarted.Tick(0.2, true).empty()) << "only one proposal may be outstanding";
}

// node-1 answers no probe, or late if delayed_responses_ is set. node-2 answers with a given
// observation of node-1.
class MemberTableSilentNodeTest : public MemberTableTest {
 protected:
  void AdvanceWithObservation(double duration_s, const model::MemberObservation& observation,
                              double response_age_s = 0.01) {
    for (double end = now_ + duration_s; now_ < end;) {
      now_ += kProbeOptions.probe_s;
      wire::MemberStatus status = StatusOf("node-2", {8, 0});
      status.observations = {observation};
      table_.OnProbeResponse(status, now_ - 0.01, now_);
      if (delayed_responses_)
        table_.OnProbeResponse(StatusOf("node-1", {5, 0}), now_ - response_age_s, now_);
      for (auto& proposal : table_.Tick(now_, true)) proposals_.push_back(std::move(proposal));
    }
  }
  MemberState StateOfSilentNode() const { return table_.Rows(now_)[1].state; }
  const model::MemberObservation suspects_{"node-1", {5, 0}, MemberState::kSuspect, std::nullopt};
  bool delayed_responses_ = false;
};

// Without the precondition on the subject's record, a refutation or a new session that was written
// in between would be overruled. Without the one on the writer's record, two nodes that suspect
// each other could both be declared failed.
TEST_F(MemberTableSilentNodeTest, SuspicionAndFailureArePreconditionedOnBothRecords) {
  auto expect_preconditions = [&](membership::Proposal::Kind kind, uint64_t subject_version) {
    ASSERT_EQ(proposals_.size(), 1U);
    EXPECT_EQ(proposals_[0].kind, kind);
    ASSERT_EQ(proposals_[0].preconditions.size(), 2U);
    EXPECT_EQ(proposals_[0].preconditions[0].key, store::MemberKey("node-1"));
    EXPECT_EQ(proposals_[0].preconditions[0].version, subject_version);
    EXPECT_EQ(proposals_[0].preconditions[1].key, store::MemberKey("node-0"));
    EXPECT_EQ(proposals_[0].preconditions[1].version, 10U);
  };
  AdvanceWithObservation(3, suspects_);
  expect_preconditions(membership::Proposal::Kind::kSuspect, 11);
  table_.OnProposalDone("node-1", now_);
  Record("node-1", {MemberState::kSuspect, {5, 0}, 7, "node-0", "does not answer"}, 30);
  proposals_.clear();
  AdvanceWithObservation(0.5, suspects_);
  EXPECT_TRUE(proposals_.empty()) << "the suspected node has three intervals to refute";
  AdvanceWithObservation(3, suspects_);
  expect_preconditions(membership::Proposal::Kind::kDeclareFailed, 30);
}

TEST_F(MemberTableSilentNodeTest, ProposesNothingUntilTheOtherObserverSuspectsToo) {
  AdvanceWithObservation(3, {"node-1", {5, 0}, MemberState::kAlive, std::nullopt});
  EXPECT_EQ(StateOfSilentNode(), MemberState::kSuspect);
  EXPECT_TRUE(proposals_.empty());
}

TEST_F(MemberTableSilentNodeTest, ObservationOfAnEarlierSessionDoesNotProveLiveness) {
  AdvanceWithObservation(3, {"node-1", {4, 0}, MemberState::kAlive, 10});
  EXPECT_EQ(StateOfSilentNode(), MemberState::kSuspect);
  AdvanceWithObservation(3, {"node-1", {5, 0}, MemberState::kAlive, 10});
  EXPECT_EQ(StateOfSilentNode(), MemberState::kAlive);
}

TEST_F(MemberTableSilentNodeTest, DelayedResponsesDoNotProveLiveness) {
  delayed_responses_ = true;
  AdvanceWithObservation(40, suspects_, 20);
  EXPECT_EQ(StateOfSilentNode(), MemberState::kSuspect);
}

TEST_F(MemberTableTest, SuspectedNodeProposesNothing) {
  Record("node-0", {MemberState::kSuspect, {1, 0}, kInstance, "node-2", ""}, 21);
  table_.Tick(0.1, true);  // proposes a refutation, which is never carried out
  for (int i = 0; i < 40; ++i) {
    now_ += kProbeOptions.probe_s;
    table_.OnProbeResponse(StatusOf("node-2", {8, 0}), now_ - 0.01, now_);
    EXPECT_TRUE(table_.Tick(now_, true).empty());
  }
}

}  // namespace
}  // namespace hallpier
