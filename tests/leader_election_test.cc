// Tests leader election through a fake state service on loopback: pauses of the process, outages of
// the state service, requests that it refuses and lost responses.
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

// Policy of a node whose peers confirm an outage if the test sets `outage_confirmed`.
struct FakeElectionPolicy : election::ElectionPolicy {
  bool OutageConfirmedByAll() const override { return outage_confirmed; }
  bool outage_confirmed = false;
};

// Runs a LeaderElection with its state client and watch cache, without the rest of a controller.
struct ElectionNode {
  ElectionNode(async::Scope& scope, config::Settings s, const store::Client::Options& options)
      : settings(std::move(s)),
        client(scope, options),
        cache(scope, client, 0.2,
              [this](const std::string& key, const std::string& value) {
                if (key == store::LeaderKey()) leader_election.OnLeaderRecord(value);
              }),
        leader_election(scope, settings, operator_options, client, cache, policy,
                        [this](async::Scope&) { ++terms; }) {
    scope.Spawn(cache.Run());
    scope.Spawn(leader_election.Run());
  }
  const config::Settings settings;
  const config::OperatorOptions operator_options;
  FakeElectionPolicy policy;
  int terms = 0;
  store::Client client;
  store::WatchCache cache;
  election::LeaderElection leader_election;
};

// Half of it is the duration of the leader's lease.
constexpr double kHeartbeatIntervalS = 2;
// Durations of the workers' leases. A leader whose requests alone are refused renews its lease
// through a peer for a quarter of a worker's lease.
constexpr double kWorkerLeaseS = 60;
constexpr double kShortWorkerLeaseS = 8;

config::Settings LeaderSettings(double heartbeat_interval_s, double lease_s) {
  config::Settings s = TestSettings();
  s.heartbeat_interval_s = heartbeat_interval_s;
  s.lease_s = lease_s;
  return s;
}

// Guards against a leader that is paused for longer than its lease and then answers a worker before
// it has verified that no other node became leader in the meantime.
class PausedLeaderElectionTest : public NetTest {
 public:
  async::Task<> Script() {
    std::string error;
    FakeStateService state(scope_);
    RequireStarted(state.Listen(AddressAt(3), &error), "a server", error);
    ElectionNode node(scope_, LeaderSettings(kHeartbeatIntervalS, kWorkerLeaseS),
                      StateClientOptions(3));
    election::LeaderElection& leader_election = node.leader_election;
    while (!leader_election.leading()) co_await Pause(0.01);
    EXPECT_TRUE(leader_election.MayAct());
    const model::FencingToken token = leader_election.token();
    BlockThread(1.6);
    EXPECT_TRUE(leader_election.leading()) << "it has not noticed the pause yet";
    EXPECT_FALSE(leader_election.MayAct()) << "it must verify its lease first";
    while (node.terms < 2) co_await Pause(0.01);
    EXPECT_GT(leader_election.token(), token)
        << "its lease had expired, so it was elected again with a new token";
    EXPECT_TRUE(leader_election.MayAct());
    scope_.Cancel();
    co_await scope_.Join();
  }
};

TEST_F(PausedLeaderElectionTest, LeaderDoesNotActBeforeItVerifiesItsLease) { Run(Script()); }

// Guards against a leader that is paused during an outage and continues to act afterwards. The
// outage may have ended during the pause and another node may be the leader, so the permission to
// act with an unconfirmed lease does not outlast the pause. Once all other nodes report that the
// outage goes on, no other node can be the leader and it may act.
class PauseDuringOutageElectionTest : public NetTest {
 public:
  async::Task<> Script() {
    std::string error;
    FakeStateService state(scope_);
    RequireStarted(state.Listen(AddressAt(3), &error), "a server", error);
    ElectionNode node(scope_, LeaderSettings(kHeartbeatIntervalS, kWorkerLeaseS),
                      StateClientOptions(3));
    loop_.DetectPauses(node.leader_election.MaxRenewalGapS());
    election::LeaderElection& leader_election = node.leader_election;
    while (!leader_election.leading()) co_await Pause(0.01);
    state.SetOutage(true);
    co_await Pause(1);
    EXPECT_TRUE(leader_election.MayAct()) << "running tasks continue through an outage";
    BlockThread(1.2 * leader_election.MaxRenewalGapS());
    EXPECT_FALSE(leader_election.MayAct()) << "before the next turn of the event loop";
    co_await Pause(0.5);
    EXPECT_FALSE(leader_election.MayAct()) << "and later, while the service does not answer";
    node.policy.outage_confirmed = true;
    EXPECT_TRUE(leader_election.MayAct());
    node.policy.outage_confirmed = false;
    state.SetOutage(false);
    const double end = loop_.Now() + 3;
    while (!leader_election.MayAct() && loop_.Now() < end) co_await Pause(0.01);
    EXPECT_TRUE(leader_election.MayAct()) << "its lease is confirmed or it was elected again";
    scope_.Cancel();
    co_await scope_.Join();
  }
};

TEST_F(PauseDuringOutageElectionTest, LeaderDoesNotActUntilTheOutageOrItsLeaseIsConfirmed) {
  Run(Script());
}

// Guards against leader changes if the state service repeatedly refuses requests of the leader
// only. While a peer reaches the service, a short refusal must not change the leader; a long one
// must, since the leader receives no updates.
class RefusedLeaderElectionTest : public NetTest {
 public:
  async::Task<> Script() {
    std::string error;
    FakeStateService state(scope_);
    RequireStarted(state.Listen(AddressAt(3), &error), "a server", error);
    RequireStarted(state.ListenSecondary(AddressAt(4), &error), "a server", error);
    store::Client peer(scope_, StateClientOptions(3));
    ElectionNode node(scope_, LeaderSettings(kHeartbeatIntervalS, kShortWorkerLeaseS),
                      StateClientOptions(4));
    node.client.SetRelay([&peer](wire::HttpRequest request) -> async::Task<net::RelayResult> {
      net::RelayResult relayed;
      relayed.sent = true;
      relayed.response = co_await peer.ExecuteForPeer(std::move(request));
      co_return relayed;
    });
    election::LeaderElection& leader_election = node.leader_election;
    while (!leader_election.leading()) co_await Pause(0.01);
    const model::FencingToken token = leader_election.token();
    for (int refusal = 0; refusal < 2; ++refusal) {
      state.CutSecondary(true);
      co_await Pause(1.5);
      EXPECT_TRUE(leader_election.MayAct()) << refusal;
      state.CutSecondary(false);
      co_await Pause(0.8);
    }
    EXPECT_EQ(leader_election.token(), token);
    EXPECT_FALSE(state.Value(store::LeaderKey()).empty());
    state.CutSecondary(true);
    const double end = loop_.Now() + 6;
    while (!state.Value(store::LeaderKey()).empty() && loop_.Now() < end) co_await Pause(0.05);
    EXPECT_TRUE(state.Value(store::LeaderKey()).empty()) << "another node may become leader";
    scope_.Cancel();
    co_await scope_.Join();
  }
};

TEST_F(RefusedLeaderElectionTest, LeaderRenewsItsLeaseThroughAPeerForALimitedTime) {
  Run(Script());
}

// Guards against a leader that keeps a void fencing token: it raises its token, and the transaction
// is applied but its response is lost. A node without peers must detect this by itself; otherwise
// no commit would succeed any more.
class LostTokenResponseTest : public NetTest {
 public:
  async::Task<> Script() {
    std::string error;
    FakeStateService state(scope_);
    RequireStarted(state.Listen(AddressAt(7), &error), "a server", error);
    ElectionNode node(scope_, LeaderSettings(1, kWorkerLeaseS), StateClientOptions(7));
    election::LeaderElection& leader_election = node.leader_election;
    while (!leader_election.leading()) co_await Pause(0.01);
    const model::FencingToken token = leader_election.token();
    state.LoseAnswers(store::FencingTokenKey(), FakeStateService::Execution::kImmediate);
    bool raised = co_await leader_election.RaiseToken();
    EXPECT_FALSE(raised);
    EXPECT_EQ(state.lost_answers(), 1);
    const double end = loop_.Now() + 5;
    while (node.terms < 2 && loop_.Now() < end) co_await Pause(0.01);
    EXPECT_EQ(node.terms, 2);
    EXPECT_GT(leader_election.token(), token);
    scope_.Cancel();
    co_await scope_.Join();
  }
};

TEST_F(LostTokenResponseTest, NewTermStartsWithAHigherToken) { Run(Script()); }

}  // namespace
}  // namespace hallpier
