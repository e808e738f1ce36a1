// The election of one leader by way of a key-value store on loopback: pauses of the process,
// outages and refusals of the store, and answers that are lost.
#include "election/leader_election.h"

#include <gtest/gtest.h>

#include "config/operator_options.h"
#include "election/election_policy.h"
#include "fakes/fake_state_service.h"
#include "fixtures.h"
#include "model/key_value.h"
#include "net_fixture.h"
#include "store/watch_cache.h"

namespace hallpier {
namespace {

using namespace testing_support;

// Of a node whose peers confirm an outage when the test says so.
struct OutagePolicy : election::ElectionPolicy {
  bool OutageConfirmedByAll() const override { return outage_confirmed; }
  bool outage_confirmed = false;
};

// A node that leads by way of a state client of its own, with nothing else of a controller.
struct LoneLeader {
  LoneLeader(async::Scope& scope, config::Settings s, const store::Client::Options& options)
      : settings(std::move(s)),
        client(scope, options),
        cache(scope, client, 0.2,
              [this](const std::string& key, const std::string& value) {
                if (key == store::LeaderKey()) lead.OnLeaderRecord(value);
              }),
        lead(scope, settings, operators, client, cache, policy,
             [this](async::Scope&) { ++terms; }) {
    scope.Spawn(cache.Run());
    scope.Spawn(lead.Run());
  }
  const config::Settings settings;
  const config::OperatorOptions operators;
  OutagePolicy policy;
  int terms = 0;
  store::Client client;
  store::WatchCache cache;
  election::LeaderElection lead;
};

// The leader's own lease is half a report period.
constexpr double kReport = 2;
// Of the workers. A leader that is refused alone renews by way of a peer for a quarter of theirs.
constexpr double kLease = 60;
constexpr double kShortLease = 8;

config::Settings LeaderSettings(double heartbeat_interval_s, double lease_s) {
  config::Settings s = TestSettings();
  s.heartbeat_interval_s = heartbeat_interval_s;
  s.lease_s = lease_s;
  return s;
}

// A leader that stood still for longer than its lease must not answer a worker before it knows that
// nobody has led since.
class StoodStill : public NetTest {
 public:
  async::Task<> Script() {
    std::string error;
    FakeStateService state(scope_);
    RequireStarted(state.Listen(AddressAt(3), &error), "a server", error);
    LoneLeader node(scope_, LeaderSettings(kReport, kLease), StateAt(3));
    election::LeaderElection& lead = node.lead;
    while (!lead.leading()) co_await Pause(0.01);
    EXPECT_TRUE(lead.MayAct());
    const model::FencingToken token = lead.token();
    StandStill(1.6);
    EXPECT_TRUE(lead.leading()) << "it can't know better yet";
    EXPECT_FALSE(lead.MayAct()) << "and must find out first";
    while (node.terms < 2) co_await Pause(0.01);
    EXPECT_GT(lead.token(), token) << "its lease had ended: it leads anew, or not at all";
    EXPECT_TRUE(lead.MayAct());
    scope_.Cancel();
    co_await scope_.Join();
  }
};

TEST_F(StoodStill, ALeaderVerifiesItsLeaseFirst) { Run(Script()); }

// Paused in an outage, which may be over by now and another node lead: being doubtful before the
// pause is no leave to answer after it. Once all others say that the outage goes on, nobody leads.
class PausedInAnOutage : public NetTest {
 public:
  async::Task<> Script() {
    std::string error;
    FakeStateService state(scope_);
    RequireStarted(state.Listen(AddressAt(3), &error), "a server", error);
    LoneLeader node(scope_, LeaderSettings(kReport, kLease), StateAt(3));
    loop_.DetectPauses(node.lead.MaxRenewalGapS());
    election::LeaderElection& lead = node.lead;
    while (!lead.leading()) co_await Pause(0.01);
    state.SetOutage(true);
    co_await Pause(1);
    EXPECT_TRUE(lead.MayAct()) << "running tasks are carried through an outage";
    StandStill(1.2 * lead.MaxRenewalGapS());
    EXPECT_FALSE(lead.MayAct()) << "before the loop has had a turn";
    co_await Pause(0.5);
    EXPECT_FALSE(lead.MayAct()) << "and after it, while the service does not answer";
    node.policy.outage_confirmed = true;
    EXPECT_TRUE(lead.MayAct());
    node.policy.outage_confirmed = false;
    state.SetOutage(false);
    const double end = loop_.Now() + 3;
    while (!lead.MayAct() && loop_.Now() < end) co_await Pause(0.01);
    EXPECT_TRUE(lead.MayAct()) << "its lease is confirmed, or it leads anew";
    scope_.Cancel();
    co_await scope_.Join();
  }
};

TEST_F(PausedInAnOutage, ALeaderKnowsNothingOfTheServiceAnyMore) { Run(Script()); }

// The state service refuses the leader alone, again and again. While a peer reaches the service a
// short refusal does not move the lead; a long one does, since the leader hears of nothing new.
class RefusedAlone : public NetTest {
 public:
  async::Task<> Script() {
    std::string error;
    FakeStateService state(scope_);
    RequireStarted(state.Listen(AddressAt(3), &error), "a server", error);
    RequireStarted(state.ListenSecondary(AddressAt(4), &error), "a server", error);
    store::Client peer(scope_, StateAt(3));
    LoneLeader node(scope_, LeaderSettings(kReport, kShortLease), StateAt(4));
    node.client.SetRelay([&peer](wire::HttpRequest request) -> async::Task<net::RelayResult> {
      net::RelayResult relayed;
      relayed.sent = true;
      relayed.answer = co_await peer.ExecuteForPeer(std::move(request));
      co_return relayed;
    });
    election::LeaderElection& lead = node.lead;
    while (!lead.leading()) co_await Pause(0.01);
    const model::FencingToken token = lead.token();
    for (int flap = 0; flap < 2; ++flap) {
      state.CutSecondary(true);
      co_await Pause(1.5);
      EXPECT_TRUE(lead.MayAct()) << flap;
      state.CutSecondary(false);
      co_await Pause(0.8);
    }
    EXPECT_EQ(lead.token(), token);
    EXPECT_FALSE(state.Value(store::LeaderKey()).empty());
    state.CutSecondary(true);
    const double end = loop_.Now() + 6;
    while (!state.Value(store::LeaderKey()).empty() && loop_.Now() < end) co_await Pause(0.05);
    EXPECT_TRUE(state.Value(store::LeaderKey()).empty()) << "another node may lead";
    scope_.Cancel();
    co_await scope_.Join();
  }
};

TEST_F(RefusedAlone, ALeaderKeepsItsLeaseByWayOfAPeerForAShortTime) { Run(Script()); }

// A leader raises its token, and the answer is lost though it was carried out: the old token is
// void. A node without peers must notice by itself, or no commit would ever succeed again.
class LostFence : public NetTest {
 public:
  async::Task<> Script() {
    std::string error;
    FakeStateService state(scope_);
    RequireStarted(state.Listen(AddressAt(7), &error), "a server", error);
    LoneLeader node(scope_, LeaderSettings(1, kLease), StateAt(7));
    election::LeaderElection& lead = node.lead;
    while (!lead.leading()) co_await Pause(0.01);
    const model::FencingToken token = lead.token();
    state.LoseAnswers(store::FencingTokenKey(), FakeStateService::Execution::kImmediate);
    bool raised = co_await lead.RaiseToken();
    EXPECT_FALSE(raised);
    EXPECT_EQ(state.lost_answers(), 1);
    const double end = loop_.Now() + 5;
    while (node.terms < 2 && loop_.Now() < end) co_await Pause(0.01);
    EXPECT_EQ(node.terms, 2);
    EXPECT_GT(lead.token(), token);
    scope_.Cancel();
    co_await scope_.Join();
  }
};

TEST_F(LostFence, EndsTheTerm) { Run(Script()); }

}  // namespace
}  // namespace hallpier
