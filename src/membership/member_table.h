// Which controllers are alive, as one of them sees it, and what it should write on the state
// service about that. A pure state machine: time is an argument, and all writes are returned as
// proposals.
//
// Every node probes every other one. A node that is silent for longer than an adaptive threshold,
// and that no other node hears either, is suspect: that is voiced in probes and their answers. Once
// all observers that can be heard agree, the suspicion is recorded on the state service, where the
// suspect refutes it if it reaches the service at all. A suspicion that stands there unrefuted for
// the time of confirmation becomes the verdict "failed". Each step is one transaction, guarded by
// the versions of the subject's and of the writer's own record: two that suspect each other can't
// both succeed, and a session gets one verdict at the most.
//
// docs/membership.md has the reasons. Guards against what its tests name.
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

// A write to the state service: this record for that node, if the guards hold.
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
    double confirm_probes = 0;  // a recorded suspicion stands for so many before the verdict
    uint64_t instance = 0;      // drawn at random for this process
  };
  MemberTable(Options options, double now);

  // A member's record has changed; nothing: it was dropped, or can't be read.
  void OnRecord(const std::string& node, const std::optional<MemberRecord>& record,
                uint64_t version, double now);
  // What another node says with its probe. It may be of any age, and proves nothing of its sender.
  void OnProbe(const wire::MemberStatus& status);
  // The answer to a probe that was sent at `asked`.
  void OnAnswer(const wire::MemberStatus& status, double asked, double now);
  // The older exchange of status between all nodes was answered (net/peer_mesh.h): also by versions
  // that know no membership.
  void OnStatusAnswered(const std::string& node, double asked);
  // The node's port refuses connections after a link to it has broken.
  void OnConnectionRefused(const std::string& node);
  // This process was paused, or got its turns late; what it did not hear meanwhile says nothing.
  void OnPause(double now);
  // How long a transaction takes that the state service answers.
  void OnStateRoundTrip(double took_s) { state_round_trip_.Add(took_s); }

  // To be called once for each interval of probes. `state_direct`: the state service answers this
  // node without a relay; nobody is suspected in records, or judged, otherwise.
  std::vector<Proposal> Tick(double now, bool state_direct);
  // The outcome of a proposal is known, or it was given up.
  void OnProposalDone(const std::string& node, double now);
  // The record that says that this node ends in order; nothing if it has no record of its own.
  std::optional<Proposal> Leave() const;

  // What this node says of itself and of the others.
  wire::MemberStatus Status(double now) const;
  void SetVitals(const model::MemberVitals& vitals) { vitals_ = vitals; }
  void SetYieldsTo(const std::string& node) { yields_to_ = node; }
  void SetLeaving() { leaving_ = true; }

  // True while this node's own record says that it is a member and nobody suspects it: whoever is
  // not may not take the lead.
  bool IsActiveMember() const;
  // Guards that hold only while that is so; empty: it is not.
  std::vector<model::Precondition> OwnPreconditions() const;
  // This process was judged as failed, and has not joined again yet.
  bool Judged() const;
  // Another process of the same name has joined since: this one must not act any more.
  bool Superseded() const { return superseded_; }
  const model::Incarnation& incarnation() const { return own_; }

  // Others whose last answer is fresh, with what they said of their own state.
  std::map<std::string, model::MemberVitals> FreshVitals(double now) const;
  // Whom some other node that leads, or led a moment ago, names as its successor; empty: nobody.
  std::string SuccessorNamedByOthers(double now) const;
  std::vector<wire::MemberRow> Rows(double now) const;
  // True if another node's record says that it failed.
  bool Failed(const std::string& node) const;

 private:
  // What one observer says of a member.
  struct Observed {
    model::MemberState state = model::MemberState::kAlive;
    std::optional<double> heard_at;
  };
  struct Member {
    Member(ProbeOptions probes, double now) : evidence(probes, now), shown_since(now) {}

    LivenessTracker evidence;
    std::optional<MemberRecord> record;
    uint64_t version = 0;
    double record_seen_at = 0;
    uint64_t refutation = 0;  // the highest that it has told, within the session of the record
    bool refused = false;
    bool leaving = false;
    std::optional<double> suspect_since;  // this node's own suspicion
    model::MemberState shown = model::MemberState::kAlive;
    double shown_since;
    std::map<std::string, Observed> observers;
    model::MemberVitals vitals;
    std::string yields_to;
  };

  Member* Find(const std::string& node);
  void OnOwnRecord(const std::optional<MemberRecord>& record, uint64_t version);
  void OnNewSession(Member& member, double now);
  // What `status` says of this node, and which refutations it knows of.
  void TakeRefutations(const wire::MemberStatus& status);
  void TakeObservations(const wire::MemberStatus& status, double asked);
  void ReviewHealth(double now);
  void ReviewSuspicion(Member& member, const std::string& node, double now);
  std::optional<Proposal> ProposeForSelf() const;
  std::optional<Proposal> ProposeFor(const std::string& node, const Member& member,
                                     double now) const;

  bool Fresh(const Member& member, double now) const;
  bool HeardByOthers(const Member& member, const std::string& node, double now) const;
  bool ObserversAgree(const Member& member, const std::string& node, double now) const;
  // This node's place among those that may write, so that not all do so at once.
  size_t WritePriority(const std::string& subject, double now) const;
  double ConfirmS() const;
  static model::MemberState ShownState(const Member& member);

  const Options options_;
  LocalHealth health_;
  RoundTripEstimator state_round_trip_;
  std::map<std::string, Member> members_;
  std::optional<MemberRecord> own_record_;
  uint64_t own_version_ = 0;
  model::Incarnation own_;  // session 0: not joined yet
  bool superseded_ = false;
  bool leaving_ = false;
  model::MemberVitals vitals_;
  std::string yields_to_;
  double last_tick_;
  std::set<std::string> pending_;             // nodes with a proposal under way
  std::map<std::string, double> not_before_;  // when the next one may be made
  std::set<std::string> unknown_nodes_reported_;
};

}  // namespace hallpier::membership
