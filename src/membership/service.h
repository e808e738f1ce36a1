// Runs a node's part of the membership (member_table.h): sends probes over the links to the other
// nodes, carries proposals to the state service, and turns what comes of them into handovers.
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
#include "membership/member_table.h"
#include "membership/report_counter.h"
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
    // Puts a message on the link to a node; nothing happens while there is none.
    std::function<void(const std::string& node, const wire::PeerMessage& message)> send;
    // Whether a node has said that it understands the messages of wire::MemberProbe and after.
    std::function<bool(const std::string& node)> understands;
    // Machines that should report to the leader.
    std::function<size_t()> machines;
  };
  Service(async::Scope& scope, Dependencies dependencies);

  // The routine that probes and proposes for as long as its scope lives.
  async::Task<> Run();

  // A member's record on the state service has changed; an empty value: it was dropped.
  void OnRecord(const std::string& node, const std::string& value);
  // The record of the leader has changed.
  void OnLeaderRecord();
  void OnLink(const std::string& node, bool up);
  void OnConnectionRefused(const std::string& node);
  void OnStatusAnswered(const std::string& node, double asked);
  wire::MemberAnswer OnProbe(const wire::MemberProbe& probe);
  // `node`: whose link it came by.
  void OnAnswer(const std::string& node, const wire::MemberAnswer& answer);
  // A worker's report has reached this node, whatever becomes of it.
  void OnWorkerReport();

  // Of this process; 0: it has not joined, or is not in good standing.
  uint64_t session() const { return table_.IsActiveMember() ? table_.incarnation().session : 0; }
  bool MayLead() const { return table_.IsActiveMember(); }
  // How long a named successor is left to take the lead first.
  double TakeDelayS() const;
  std::vector<model::Precondition> LeadershipPreconditions() const {
    return table_.OwnPreconditions();
  }

  // An orderly end: the lead is given up, and the record says that this node has left.
  async::Task<> Leave();
  wire::MembersReport Report() const;

 private:
  // What has been sent to a node by its present link.
  struct Link {
    std::map<uint64_t, double> asked;  // steady times of probes without an answer, by sequence
    bool probed = false;
    bool answered = false;
    int unanswered_links = 0;  // in a row: probed, and closed without an answer
    double not_before = 0;
  };
  void Tick();
  void NotePause(double now);
  void SendProbes(double now);
  bool MayProbe(const std::string& node, const Link& link, double now) const;
  void ReviewLead(double now);
  model::MemberVitals Vitals(double now);
  async::Task<> Carry(Proposal proposal);
  async::Task<bool> Write(const Proposal& proposal);
  double Now() const { return scope_.loop().Now(); }

  async::Scope& scope_;
  const Dependencies deps_;
  const double probe_s_;
  MemberTable table_;
  HandoverPolicy yield_policy_;
  ReportCounter reports_;
  std::map<std::string, Link> links_;
  uint64_t sequence_ = 0;
  double next_tick_;
  double turn_delay_s_ = 0;
  double pause_seen_;
  double next_review_ = 0;
  std::string leader_;
  std::string handover_from_, handover_to_;
  double handover_at_ = 0;
  uint64_t judged_session_ = 0;  // told in the log
};

}  // namespace hallpier::membership
