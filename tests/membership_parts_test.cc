// The parts of the membership, one by one: evidence, local health, when a leader yields, records,
// messages and their bad forms.
#include <gtest/gtest.h>

#include "membership/handover_policy.h"
#include "membership/liveness_tracker.h"
#include "membership/local_health.h"
#include "membership/member_record.h"
#include "membership/member_table.h"
#include "membership/report_counter.h"
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

constexpr membership::ProbeOptions kSilence{.probe_s = 0.25, .missed_probes = 3};

TEST(LivenessTracker, ThresholdFollowsWhatAnswersUsuallyTake) {
  LivenessTracker quick(kSilence, 0), slow(kSilence, 0);
  for (int i = 0; i < 50; ++i) {
    quick.OnAnswer(i, i + 0.002);
    slow.OnAnswer(i, i + 0.5);
  }
  EXPECT_NEAR(quick.SilenceThresholdS(1, 50), 0.752, 0.005);
  EXPECT_GT(slow.SilenceThresholdS(1, 50), 1.2);
  EXPECT_FALSE(slow.Silent(1, 50.1));
  EXPECT_TRUE(quick.Silent(1, 50.1));
  EXPECT_FALSE(quick.Silent(2, 50.1)) << "a node that distrusts itself waits for longer";
}

TEST(LivenessTracker, AnAnswerThatWasHeldUpProvesNoMoreThanItsProbe) {
  LivenessTracker evidence(kSilence, 0);
  evidence.OnAnswer(1, 60);
  EXPECT_EQ(*evidence.last_alive_at(), 1);
  EXPECT_TRUE(evidence.Silent(1, 60));
  evidence.ResetSilence(60);
  EXPECT_FALSE(evidence.Silent(1, 60));
  EXPECT_EQ(*evidence.last_alive_at(), 1) << "and is told to nobody as a sign of life";
}

TEST(LivenessTracker, WrongSuspicionsMakeTheNextOnesLaterForAWhile) {
  LivenessTracker evidence(kSilence, 0);
  const double before = evidence.SilenceThresholdS(1, 0);
  for (int i = 0; i < 20; ++i) evidence.OnRefuted(1);
  EXPECT_EQ(evidence.SilenceThresholdS(1, 1), 64 * before);
  EXPECT_EQ(evidence.SilenceThresholdS(1, 10000), before);
}

TEST(LocalHealth, GetsWorseAtOnceAndBetterByAndBy) {
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

TEST(ReportCounter, CountsTheLastWholeInterval) {
  membership::ReportCounter counter(2, 0);
  for (int i = 0; i < 5; ++i) counter.Add(1);
  EXPECT_EQ(counter.Last(1), 0U);
  EXPECT_FALSE(counter.Complete(1));
  EXPECT_EQ(counter.Last(2.5), 5U);
  EXPECT_TRUE(counter.Complete(2.5));
  EXPECT_EQ(counter.Last(4.5), 0U);
  counter.Add(5);
  EXPECT_EQ(counter.Last(60), 0U) << "too long ago";
}

class YieldTest : public testing::Test {
 protected:
  static constexpr size_t kMachines = 100;
  YieldTest() { policy_.OnLeaderChanged(0); }
  static LeadershipFitness Well(uint64_t reports) {
    return {.leading = false,
            .reaches_state_service = true,
            .event_loop_lag_ms = 0,
            .recent_heartbeats = reports};
  }
  // Asks again and again, from a time on which the hold is over; when it yields, and to whom.
  std::optional<std::string> Within(double s, const LeadershipFitness& own,
                                    const std::map<std::string, LeadershipFitness>& others) {
    for (double end = now_ + s; now_ < end; now_ += 0.5) {
      if (auto yield = policy_.Decide(own, kMachines, others, now_)) return yield->to;
    }
    return std::nullopt;
  }
  HandoverPolicy policy_{{.heartbeat_interval_s = 4,
                          .lease_s = 20,
                          .min_handover_interval_leases = 1,
                          .max_relayed_leases = 0.25}};
  double now_ = 100;
};

// The counts are those of half a report period, in which half of the machines report.
TEST_F(YieldTest, WorkersThatReachOthersMakeTheOneThatMostReachTheLeader) {
  EXPECT_EQ(Within(20, Well(5), {{"b", Well(11)}, {"c", Well(15)}}), "c");
}

TEST_F(YieldTest, WorkersThatReachNobodyAreNoReason) {
  EXPECT_EQ(Within(60, Well(5), {{"b", Well(5)}}), std::nullopt);
}

TEST_F(YieldTest, ADipOfHalfAPeriodIsNoReason) {
  EXPECT_EQ(Within(2.5, Well(5), {{"b", Well(45)}}), std::nullopt);
  EXPECT_EQ(Within(2.5, Well(50), {{"b", Well(0)}}), std::nullopt);
  EXPECT_EQ(Within(2.5, Well(5), {{"b", Well(45)}}), std::nullopt);
}

TEST_F(YieldTest, AStarvedLeaderYieldsToOneThatGetsItsTurns) {
  LeadershipFitness starved = Well(100);
  starved.event_loop_lag_ms = 2000;
  LeadershipFitness as_late = Well(0);
  as_late.event_loop_lag_ms = 1500;
  EXPECT_EQ(Within(60, starved, {{"b", as_late}}), std::nullopt) << "nothing would be gained";
  EXPECT_EQ(Within(60, starved, {{"b", Well(0)}}), "b");
}

TEST_F(YieldTest, WithoutTheStateServiceOnlyANodeThatHasItTakesOver) {
  LeadershipFitness refused = Well(100);
  refused.reaches_state_service = false;
  EXPECT_EQ(Within(60, refused, {{"b", refused}}), std::nullopt) << "an outage for all";
  EXPECT_EQ(Within(4, refused, {{"b", Well(0)}}), std::nullopt);
  EXPECT_EQ(Within(4, refused, {{"b", Well(0)}}), "b");
}

TEST_F(YieldTest, EachRecentChangeDoublesTheTimeToTheNext) {
  const std::map<std::string, LeadershipFitness> others = {{"b", Well(90)}};
  for (double at : {100.0, 101.0, 102.0}) policy_.OnLeaderChanged(at);
  now_ = 102;
  EXPECT_EQ(Within(79, Well(5), others), std::nullopt) << "two doublings of 20 s";
  EXPECT_EQ(Within(10, Well(5), others), "b");
}

TEST(MemberRecords, AreReadAsWrittenAndBadOnesCountAsNone) {
  const MemberRecord record{MemberState::kFailed, {7, 2}, UINT64_MAX, "node-1", "does not answer"};
  EXPECT_EQ(membership::ReadMember(membership::WriteMember(record)), record);
  for (const char* bad : {"", "[]", "{}", R"({"state":"odd","session":1})", R"({"state":"alive"})",
                          R"({"state":"alive","session":0})", R"({"state":"alive","session":-1})",
                          R"({"state":"alive","session":"1"})"}) {
    EXPECT_EQ(membership::ReadMember(bad), std::nullopt) << bad;
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

TEST(MemberMessages, AreReadAsWrittenAndShortOnesRefused) {
  wire::MemberStatus status = StatusOf("node-0", {3, 1});
  status.vitals = {true, false, 250, 4000};
  status.yields_to = "node-2";
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

TEST(MemberMessages, ACountThatNoFrameCouldHoldIsRefused) {
  wire::MemberStatus status = StatusOf("n", {1, 0});
  std::string payload = wire::WritePeerMessage(wire::MemberProbe{1, status});
  payload.pop_back();  // the count of observations, 0
  payload += "\xff\xff\xff\xff\xff\xff\xff\xff\x7f";
  EXPECT_FALSE(wire::ReadPeerMessage(payload));
}

// One table by itself, fed by hand.
class TableTest : public testing::Test {
 protected:
  static constexpr uint64_t kInstance = 42;
  TableTest()
      : table_({.node = "node-0",
                .others = {"node-0", "node-1", "node-2"},
                .probes = kSilence,
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
  void Pass(double s, const std::vector<std::string>& answering = {}) {
    for (double end = now_ + s; now_ < end;) {
      now_ += kSilence.probe_s;
      for (const std::string& node : answering) {
        table_.OnAnswer(StatusOf(node, {node == "node-1" ? 5U : 8U, 0}), now_ - 0.01, now_);
      }
      proposals_ = table_.Tick(now_, true);
    }
  }
  MemberTable table_;
  double now_ = 0;
  std::vector<membership::Proposal> proposals_;
};

TEST_F(TableTest, WhatIsSaidOfOrByUnknownNodesIsIgnored) {
  wire::MemberStatus status = StatusOf("node-9", {1, 0});
  status.observations = {{"node-0", {1, 0}, MemberState::kSuspect, 1}};
  table_.OnProbe(status);
  table_.OnAnswer(status, 0, 0);
  EXPECT_EQ(table_.incarnation().refutation, 0U);
  status = StatusOf("node-1", {5, 0});
  status.observations = {{"node-9", {1, 0}, MemberState::kFailed, 1}};
  table_.OnAnswer(status, 0, 0);
  EXPECT_EQ(table_.Rows(0).size(), 3U);
}

TEST_F(TableTest, ASuspicionOfThisSessionIsRefutedAndOneFromTheFutureIsNot) {
  wire::MemberStatus status = StatusOf("node-1", {5, 0});
  status.observations = {{"node-0", {2, 0}, MemberState::kSuspect, 1}};
  table_.OnProbe(status);
  EXPECT_EQ(table_.incarnation(), (model::Incarnation{1, 0})) << "no session of this process";
  status.observations = {{"node-0", {1, 3}, MemberState::kSuspect, 1}};
  table_.OnProbe(status);
  EXPECT_EQ(table_.incarnation(), (model::Incarnation{1, 0})) << "never said so";
  status.observations = {{"node-0", {1, 0}, MemberState::kSuspect, 1}};
  table_.OnProbe(status);
  EXPECT_EQ(table_.incarnation(), (model::Incarnation{1, 1}));
}

TEST_F(TableTest, AFailedNodesFormerProcessKeepsNobodyAlive) {
  Pass(5, {"node-1", "node-2"});
  EXPECT_TRUE(proposals_.empty());
  for (int i = 0; i < 20; ++i) {
    now_ += kSilence.probe_s;
    table_.OnAnswer(StatusOf("node-1", {4, 9}), now_ - 0.01, now_);
    table_.OnAnswer(StatusOf("node-2", {8, 0}), now_ - 0.01, now_);
    table_.Tick(now_, true);
  }
  EXPECT_EQ(table_.Rows(now_)[1].state, MemberState::kSuspect);
}

TEST_F(TableTest, AnswersOfTheOlderStatusAreASignOfLifeToo) {
  for (int i = 0; i < 40; ++i) {
    now_ += kSilence.probe_s;
    table_.OnStatusAnswered("node-1", now_ - 0.01);
    table_.OnAnswer(StatusOf("node-2", {8, 0}), now_ - 0.01, now_);
    EXPECT_TRUE(table_.Tick(now_, true).empty());
  }
}

TEST_F(TableTest, ANodeWithoutARecordIsNeverSuspect) {
  table_.OnRecord("node-1", std::nullopt, 0, now_);
  Pass(60, {"node-2"});
  EXPECT_EQ(table_.Rows(now_)[1].state, MemberState::kAlive);
  EXPECT_TRUE(proposals_.empty());
}

TEST_F(TableTest, ANewerProcessOfTheSameNameMakesThisOnePassive) {
  EXPECT_TRUE(table_.IsActiveMember());
  Record("node-0", {MemberState::kAlive, {2, 0}, kInstance + 1, "", ""}, 20);
  EXPECT_TRUE(table_.Superseded());
  EXPECT_FALSE(table_.IsActiveMember());
  Pass(10, {"node-1", "node-2"});
  EXPECT_TRUE(proposals_.empty()) << "it does not join again and again against the other";
}

TEST_F(TableTest, ALeftOverRecordOfTheFormerProcessIsReplaced) {
  MemberTable fresh({.node = "node-0",
                     .others = {"node-1"},
                     .probes = kSilence,
                     .confirm_probes = 3,
                     .instance = kInstance + 5},
                    0);
  fresh.OnRecord("node-0", MemberRecord{MemberState::kAlive, {6, 2}, kInstance, "", ""}, 30, 0);
  auto proposals = fresh.Tick(0.1, true);
  ASSERT_EQ(proposals.size(), 1U);
  EXPECT_EQ(proposals[0].kind, membership::Proposal::Kind::kJoin);
  EXPECT_EQ(proposals[0].record.incarnation, (model::Incarnation{7, 0}));
  ASSERT_EQ(proposals[0].preconditions.size(), 1U);
  EXPECT_EQ(proposals[0].preconditions[0].version, 30U);
  EXPECT_TRUE(fresh.Tick(0.2, true).empty()) << "one at a time";
}

// node-2 answers, and says of node-1 what is given; node-1 is silent.
class SilentNodeTest : public TableTest {
 protected:
  void PassWith(double s, const model::MemberObservation& observation, double answer_age_s = 0.01) {
    for (double end = now_ + s; now_ < end;) {
      now_ += kSilence.probe_s;
      wire::MemberStatus status = StatusOf("node-2", {8, 0});
      status.observations = {observation};
      table_.OnAnswer(status, now_ - 0.01, now_);
      if (held_up_) table_.OnAnswer(StatusOf("node-1", {5, 0}), now_ - answer_age_s, now_);
      for (auto& proposal : table_.Tick(now_, true)) proposals_.push_back(std::move(proposal));
    }
  }
  MemberState Seen() const { return table_.Rows(now_)[1].state; }
  const model::MemberObservation suspects_{"node-1", {5, 0}, MemberState::kSuspect, std::nullopt};
  bool held_up_ = false;
};

// Either guard missing, a refutation or a new session in between would be overruled, or two that
// suspect each other would both be judged.
TEST_F(SilentNodeTest, EachStepIsGuardedByTheSubjectsAndTheWritersRecord) {
  auto expect_guards = [&](membership::Proposal::Kind kind, uint64_t subject_version) {
    ASSERT_EQ(proposals_.size(), 1U);
    EXPECT_EQ(proposals_[0].kind, kind);
    ASSERT_EQ(proposals_[0].preconditions.size(), 2U);
    EXPECT_EQ(proposals_[0].preconditions[0].key, store::MemberKey("node-1"));
    EXPECT_EQ(proposals_[0].preconditions[0].version, subject_version);
    EXPECT_EQ(proposals_[0].preconditions[1].key, store::MemberKey("node-0"));
    EXPECT_EQ(proposals_[0].preconditions[1].version, 10U);
  };
  PassWith(3, suspects_);
  expect_guards(membership::Proposal::Kind::kSuspect, 11);
  table_.OnProposalDone("node-1", now_);
  Record("node-1", {MemberState::kSuspect, {5, 0}, 7, "node-0", "does not answer"}, 30);
  proposals_.clear();
  PassWith(0.5, suspects_);
  EXPECT_TRUE(proposals_.empty()) << "three intervals are left to refute";
  PassWith(3, suspects_);
  expect_guards(membership::Proposal::Kind::kDeclareFailed, 30);
}

TEST_F(SilentNodeTest, WithoutTheOtherObserverNobodyIsAccusedAtFirst) {
  PassWith(3, {"node-1", {5, 0}, MemberState::kAlive, std::nullopt});
  EXPECT_EQ(Seen(), MemberState::kSuspect);
  EXPECT_TRUE(proposals_.empty());
}

TEST_F(SilentNodeTest, WhatIsSaidOfAFormerSessionIsNoSignOfLife) {
  PassWith(3, {"node-1", {4, 0}, MemberState::kAlive, 10});
  EXPECT_EQ(Seen(), MemberState::kSuspect);
  PassWith(3, {"node-1", {5, 0}, MemberState::kAlive, 10});
  EXPECT_EQ(Seen(), MemberState::kAlive);
}

TEST_F(SilentNodeTest, AnswersThatWereHeldUpAreNoSignOfLife) {
  held_up_ = true;
  PassWith(40, suspects_, 20);
  EXPECT_EQ(Seen(), MemberState::kSuspect);
}

TEST_F(TableTest, WhoeverIsSuspectItselfAccusesNobody) {
  Record("node-0", {MemberState::kSuspect, {1, 0}, kInstance, "node-2", ""}, 21);
  table_.Tick(0.1, true);  // its refutation, never carried out
  for (int i = 0; i < 40; ++i) {
    now_ += kSilence.probe_s;
    table_.OnAnswer(StatusOf("node-2", {8, 0}), now_ - 0.01, now_);
    EXPECT_TRUE(table_.Tick(now_, true).empty());
  }
}

}  // namespace
}  // namespace hallpier
