// Keeps one controller's view of which controllers are alive, and decides which member records it
// should write to the state service. The table does no I/O: time is an argument, and writes are
// returned as proposals.
//
// Every node probes every other node. A node becomes suspect if it is silent for longer than an
// adaptive threshold and no other node has heard it either; nodes exchange their suspicions in
// probes and responses. Once all responsive observers agree, the suspicion is recorded on the state
// service. The suspect refutes it there if it can reach the service at all. If the recorded
// suspicion is not refuted within the confirmation time, the node is declared failed. Each step is
// one transaction with the versions of the subject's and the writer's records as preconditions.
// Therefore, of two nodes that suspect each other, at most one can succeed, and a session is
// declared failed at most once.
//
// docs/membership.md explains the design.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "membership/liveness_tracker.h"
#include "membership/local_health.h"
#include "membership/member_record.h"
#include "model/key_value.h"
#include "model/member.h"
#include "wire/peer_messages.h"

namespace hallpier::membership {

// A write to the state service: replaces the record of `node` if the preconditions hold.
struct Proposal {
  enum class Kind { kJoin, kRefute, kSuspect, kDeclareFailed, kLeave };
  Kind kind = Kind::kJoin;
  std::string node;
  MemberRecord record;
  std::vector<model::Precondition> preconditions;
};

class MemberTable {
 public:
  struct Options {
    std::string node;
    std::vector<std::string> others;
    ProbeOptions probes;
    double confirm_probes = 0;  // probe intervals from a recorded suspicion to the declared failure
    uint64_t instance = 0;      // random number of this process
  };
  MemberTable(Options options, double now);

  // Called when a member's record has changed; std::nullopt if it was deleted or is malformed.
  void OnRecord(const std::string& node, const std::optional<MemberRecord>& record,
                uint64_t version, double now);
  // Called with the status in another node's probe. The probe may be arbitrarily old, so it does
  // not prove that its sender is alive.
  void OnProbe(const wire::MemberStatus& status);
  // Called with the response to a probe that was sent at `sent_at`.
  void OnProbeResponse(const wire::MemberStatus& status, double sent_at, double now);
  // Called when a node has answered a ping (net/peer_mesh.h). Versions without membership answer
  // pings as well.
  void OnStatusAnswered(const std::string& node, double requested_at);
  // Called when the node refuses connections after a link to it has broken.
  void OnConnectionRefused(const std::string& node);
  // Called when this process was paused or its event loop ran late, so that the silence of other
  // nodes in that time proves nothing.
  void OnPause(double now);
  // Records how long the state service took to answer a transaction.
  void OnStateRoundTrip(double took_s) { state_round_trip_.Add(took_s); }

  // Returns the writes that are due. Must be called once per probe interval.
  // `reaches_state_service` is true if the state service answers this node without a relay;
  // otherwise this node neither records suspicions nor declares nodes failed.
  std::vector<Proposal> Tick(double now, bool reaches_state_service);
  // Called when the outcome of a proposal is known or the proposal was abandoned.
  void OnProposalDone(const std::string& node, double now);
  // Returns the write that records the orderly shutdown of this node; std::nullopt if this process
  // has no member record.
  std::optional<Proposal> ProposeLeave() const;

  // Returns the status of this node and its observations of all others, as sent in probes and
  // answers.
  wire::MemberStatus Status(double now) const;
  void SetFitness(const model::LeadershipFitness& fitness) { fitness_ = fitness; }
  // Names the node that should lead next; empty if there is none.
  void SetSuccessor(const std::string& node) { successor_ = node; }
  void SetLeaving() { leaving_ = true; }

  // True while the record of this node belongs to this process and says "alive", and the process is
  // neither leaving nor superseded. Only such a node may become the leader.
  bool IsActiveMember() const;
  // Returns preconditions that hold only while this node is an active member; empty if it is not.
  std::vector<model::Precondition> ActiveMemberPreconditions() const;
  // True if this process was declared failed and has not rejoined yet.
  bool DeclaredFailed() const;
  // True if another process with the same node name has joined since; this one must not act any
  // more.
  bool Superseded() const { return superseded_; }
  const model::Incarnation& incarnation() const { return own_incarnation_; }

  // Returns the fitness of all other nodes that are responsive and recorded as alive.
  std::map<std::string, model::LeadershipFitness> ResponsiveMemberFitness(double now) const;
  // Returns the successor that another node, which leads or led until just now, has named; empty if
  // there is none.
  std::string SuccessorNamedByOthers(double now) const;
  std::vector<wire::MemberRow> Rows(double now) const;
  // True if the record of another node says that it failed.
  bool Failed(const std::string& node) const;

 private:
  // One observer's report about a member.
  struct ObserverReport {
    model::MemberState state = model::MemberState::kAlive;
    std::optional<double> last_alive_at;
  };
  struct Member {
    Member(ProbeOptions probes, double now) : liveness(probes, now), reported_state_since(now) {}

    LivenessTracker liveness;
    std::optional<MemberRecord> record;
    uint64_t version = 0;  // of the record
    double record_seen_at = 0;
    uint64_t refutation = 0;  // highest count that the member reported in the recorded session
    bool connection_refused = false;
    bool leaving = false;
    std::optional<double> suspect_since;  // when this node began to suspect it
    model::MemberState reported_state = model::MemberState::kAlive;
    double reported_state_since;
    std::map<std::string, ObserverReport> reports;  // by observer
    model::LeadershipFitness fitness;
    std::string successor;  // named by this member
  };

  // Returns the member, or nullptr and logs once if the node is not in the settings.
  Member* FindMember(const std::string& node);
  void OnOwnRecord(const std::optional<MemberRecord>& record, uint64_t version);
  void OnNewSession(Member& member, double now);
  // Updates the known refutation of the sender, and raises our own if the sender suspects us.
  void ApplyRefutations(const wire::MemberStatus& status);
  void RecordObservations(const wire::MemberStatus& status, double sent_at);
  void UpdateLocalHealth(double now);
  void UpdateSuspicion(Member& member, const std::string& node, double now);
  // Returns the join or refutation that this node should write about itself.
  std::optional<Proposal> ProposeForSelf() const;
  // Returns the suspicion or failure that this node should write about another one.
  std::optional<Proposal> ProposeForOther(const std::string& node, const Member& member,
                                          double now) const;

  // True if the node is a member, is not shutting down and has not been silent for too long.
  bool IsResponsive(const Member& member, double now) const;
  // True if a responsive observer has recently heard the node.
  bool SeenAliveByOthers(const Member& member, const std::string& node, double now) const;
  // True if every responsive observer suspects the node, or the wait for them has timed out.
  bool ObserversAgree(const Member& member, const std::string& node, double now) const;
  // Returns the rank of this node among those that may write about `subject`. Each rank waits one
  // probe interval longer, so that not all of them write at once.
  size_t WriteRank(const std::string& subject, double now) const;
  // Returns how long a recorded suspicion must stay unrefuted before the node is declared failed.
  double ConfirmationS() const;
  static model::MemberState ReportedState(const Member& member);

  const Options options_;
  LocalHealth health_;
  RoundTripEstimator state_round_trip_;
  std::map<std::string, Member> members_;
  std::optional<MemberRecord> own_record_;
  uint64_t own_version_ = 0;
  model::Incarnation own_incarnation_;  // session 0: this process has not joined yet
  bool superseded_ = false;
  bool leaving_ = false;
  model::LeadershipFitness fitness_;
  std::string successor_;
  double last_tick_;
  std::set<std::string> pending_proposals_;         // nodes with a proposal in flight
  std::map<std::string, double> next_proposal_at_;  // earliest time of the next proposal, by node
  std::set<std::string> unknown_nodes_reported_;
};

}  // namespace hallpier::membership
