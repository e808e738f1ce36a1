// Runs a node's part of the membership (member_table.h): sends probes to the other nodes, commits
// proposals to the state service, and gives up or revokes leadership as member records require.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "async/wait.h"
#include "config/operator_options.h"
#include "config/settings.h"
#include "election/leader_election.h"
#include "membership/handover_policy.h"
#include "membership/heartbeat_counter.h"
#include "membership/member_table.h"
#include "model/key_value.h"
#include "model/member.h"
#include "store/client.h"
#include "store/watch_cache.h"
#include "wire/peer_messages.h"

namespace hallpier::membership {

class Service {
 public:
  struct Dependencies {
    const config::Settings* settings;
    const config::MembershipOptions* options;
    store::Client* client;
    store::WatchCache* cache;
    election::LeaderElection* election;
    // Sends a message on the link to a node; does nothing if there is no link.
    std::function<void(const std::string& node, const wire::PeerMessage& message)> send;
    // Returns whether a node supports membership messages (wire::MemberProbe and later).
    std::function<bool(const std::string& node)> supports_membership;
    // Returns the number of machines that should send heartbeats to the leader.
    std::function<size_t()> expected_machines;
  };
  Service(async::Scope& scope, Dependencies dependencies);

  // Sends probes and commits proposals until the scope is cancelled.
  async::Task<> Run();

  // Called when a member's record on the state service has changed; `value` is empty if it was
  // deleted.
  void OnRecord(const std::string& node, const std::string& value);
  // Called when the leader record has changed.
  void OnLeaderRecord();
  // Called when the link to a node is established (`up`) or broken.
  void OnLink(const std::string& node, bool up);
  void OnConnectionRefused(const std::string& node);
  void OnStatusAnswered(const std::string& node, double requested_at);
  wire::MemberProbeResponse OnProbe(const wire::MemberProbe& probe);
  // `node` is the node whose link delivered the response.
  void OnProbeResponse(const std::string& node, const wire::MemberProbeResponse& response);
  // Called for every heartbeat that reaches this node, whether or not it is accepted.
  void OnHeartbeat();

  // The session of this process; 0 while it is not an active member (IsActiveMember()).
  uint64_t session() const { return table_.IsActiveMember() ? table_.incarnation().session : 0; }
  bool MayBecomeLeader() const { return table_.IsActiveMember(); }
  // Returns how long this node waits before it tries to lead, so that the successor named by the
  // former leader can go first; 0 if no other node was named.
  double AcquireDelayS() const;
  std::vector<model::Precondition> LeadershipPreconditions() const {
    return table_.ActiveMemberPreconditions();
  }

  // Shuts down in order: resigns as the leader and records that this node has left.
  async::Task<> Leave();
  wire::MembersReport Report() const;

 private:
  // The probes to a node on its current link, and how its earlier links ended.
  struct Link {
    std::map<uint64_t, double> sent_probes;  // steady times (s) of unanswered probes, by sequence
    bool probed = false;
    bool answered = false;
    int unanswered_links = 0;  // consecutive links that closed without a response to any probe
    double next_probe_at = 0;
  };
  void Tick();
  void HandlePause(double now);
  void SendProbes(double now);
  bool MayProbe(const std::string& node, const Link& link, double now) const;
  // Revokes the lease of a failed leader, and resigns if this node must or should not lead.
  void ReviewLeadership(double now);
  model::LeadershipFitness CurrentFitness(double now);
  // Commits a proposal, logs it and reports the outcome to the member table.
  async::Task<> ExecuteProposal(Proposal proposal);
  // Returns true if the transaction succeeded. After a conflict, refreshes the cached records whose
  // preconditions failed.
  async::Task<bool> CommitProposal(const Proposal& proposal);
  double Now() const { return scope_.loop().Now(); }

  async::Scope& scope_;
  const Dependencies deps_;
  const double probe_s_;
  MemberTable table_;
  HandoverPolicy handover_policy_;
  HeartbeatCounter heartbeat_counter_;
  std::map<std::string, Link> links_;
  uint64_t sequence_ = 0;
  double next_tick_at_;
  double loop_delay_s_ = 0;
  double last_handled_pause_;  // steady time (s)
  double next_review_at_ = 0;
  std::string last_leader_;                  // empty until the first leader is known
  std::string handover_from_, handover_to_;  // the last change of the leader
  double handover_at_ = 0;                   // steady time (s)
  uint64_t logged_failed_session_ = 0;       // the last session whose failure was logged
};

}  // namespace hallpier::membership
