// Runs a node's part of the membership (member_table.h): sends probes over the links to the other
// nodes, carries proposals to the state service, and turns what comes of them into handovers.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "lead/leadership.h"
#include "membership/member_table.h"
#include "membership/report_counter.h"
#include "membership/yield_policy.h"
#include "rt/loop.h"
#include "store/client.h"
#include "store/replica.h"
#include "wire/peer.h"

namespace hallpier::membership {

class Service {
 public:
  struct Dependencies {
    const config::Settings* settings;
    const config::Membership* options;
    store::Client* client;
    store::Replica* replica;
    lead::Leadership* leadership;
    // Puts a message on the link to a node; nothing happens while there is none.
    std::function<void(const std::string& node, const wire::PeerMessage& message)> send;
    // Whether a node has said that it understands the messages of wire::MemberProbe and after.
    std::function<bool(const std::string& node)> understands;
    // Machines that should report to the leader.
    std::function<size_t()> machines;
  };
  Service(rt::Scope& scope, Dependencies dependencies);

  // The routine that probes and proposes for as long as its scope lives.
  rt::Task<> Run();

  // A member's record on the state service has changed; an empty value: it was dropped.
  void OnRecord(const std::string& node, const std::string& value);
  // The record of the leader has changed.
  void OnLeaderRecord();
  void OnLink(const std::string& node, bool up);
  void OnRefused(const std::string& node);
  void OnStatusAnswered(const std::string& node, double asked);
  wire::MemberAnswer OnProbe(const wire::MemberProbe& probe);
  // `node`: whose link it came by.
  void OnAnswer(const std::string& node, const wire::MemberAnswer& answer);
  // A worker's report has reached this node, whatever becomes of it.
  void OnWorkerReport();

  // Of this process; 0: it has not joined, or is not in good standing.
  uint64_t session() const { return table_.InGoodStanding() ? table_.incarnation().session : 0; }
  bool MayLead() const { return table_.InGoodStanding(); }
  // How long a named successor is left to take the lead first.
  double TakeDelayS() const;
  std::vector<wire::Guard> LeadGuards() const { return table_.OwnGuards(); }

  // An orderly end: the lead is given up, and the record says that this node has left.
  rt::Task<> Leave();
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
  wire::MemberVitals Vitals(double now);
  rt::Task<> Carry(Proposal proposal);
  rt::Task<bool> Write(const Proposal& proposal);
  double Now() const { return scope_.loop().Now(); }

  rt::Scope& scope_;
  const Dependencies deps_;
  const double probe_s_;
  MemberTable table_;
  YieldPolicy yield_policy_;
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
