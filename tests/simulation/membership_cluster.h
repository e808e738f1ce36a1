// Several nodes' membership in fake time: a network that delays, drops and cuts one way or both, a
// state service with preconditions, watches and a leader's lease, nodes that freeze, end, come back
// and have clocks of their own. All from one seed. Serves the tests and tools/membership_report.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/member_table.h"
#include "model/member.h"
#include "simulation/event_queue.h"
#include "simulation/random.h"
#include "simulation/simulated_process.h"

namespace hallpier::testing_support {

class MembershipCluster {
 public:
  struct Options {
    int nodes = 3;
    uint64_t seed = 1;
    double probe_s = 0.25;
    double missed_probes = 3;
    double confirm_probes = 3;
    double leader_ttl_s = 2;
    double delay_s = 0.001;  // of a message, one way; up to twice as much
    double loss = 0;         // part of messages that comes a retransmission later
    double retransmit_s = 0.2;
    double state_delay_s = 0.004;
    double busy = 0;         // part of ticks after which a node gets no turn...
    double busy_s = 0;       // ...for up to this long
    bool membership = true;  // false: the leader's lease alone
  };

  // What happened, with the true time.
  struct Verdict {
    double at;
    std::string node;
    std::string by;
    uint64_t session;
    // The judged process ran and reached the state service for long enough to refute.
    bool was_well;
  };
  struct Handover {
    double at;
    std::string to;
    uint64_t token;
  };

  explicit MembershipCluster(Options options);

  double now() const { return events_.now(); }
  const std::vector<std::string>& names() const { return names_; }
  std::string Name(int i) const { return names_.at(static_cast<size_t>(i)); }
  membership::MemberTable& Table(const std::string& name) { return *nodes_.at(name).table; }

  void RunFor(double duration_s) { events_.RunFor(duration_s); }
  // False if the condition is not true within `limit_s` seconds.
  bool RunUntil(const std::function<bool()>& condition, double limit_s);
  void At(double delay_s, std::function<void()> run) { events_.At(delay_s, std::move(run)); }

  // Faults.
  void Freeze(const std::string& name) { nodes_.at(name).process.Freeze(); }
  void Resume(const std::string& name);
  void Kill(const std::string& name) { nodes_.at(name).process.End(); }
  void Restart(const std::string& name);
  // A second process of the same name, on another machine.
  void StartTwin(const std::string& name) { StartProcess(name); }
  void CutOneWay(const std::string& from, const std::string& to, bool cut);
  void Cut(const std::string& a, const std::string& b, bool cut);
  void CutFromState(const std::string& name, bool cut);
  void SetStateOutage(bool outage);
  void SetDelay(const std::string& a, const std::string& b, double delay_s);
  void SetClockRate(const std::string& name, double rate);
  // The next so many transactions that would write a verdict are carried out, and no answer comes.
  void LoseVerdictAnswers(int count) { lose_verdict_answers_ = count; }
  // Called once, after the next transaction with a verdict was sent and before it arrives.
  void OnVerdictSent(std::function<void(const std::string& by)> hook) {
    on_verdict_sent_ = std::move(hook);
  }
  // Delivers what `from` would say now to `to`, later, whatever the links are.
  void DelayAnswer(const std::string& from, const std::string& to, double delay_s);

  // What has happened, and how things are.
  const std::vector<Verdict>& verdicts() const { return verdicts_; }
  size_t FalseVerdicts() const;
  const std::vector<Handover>& handovers() const { return handovers_; }
  size_t suspicions() const { return suspicions_; }
  // Empty: nobody leads.
  std::string Leader() const { return LeaseStands() ? leader_ : std::string(); }
  std::optional<membership::MemberRecord> Record(const std::string& name) const;
  // Every running node sees every running node alive, and one that is in good standing leads.
  bool Settled();
  // The state as this node's own table has it.
  model::MemberState Seen(const std::string& by, const std::string& of);
  // The node's own clock.
  double LocalNow(const std::string& name) const;

 private:
  struct Node {
    std::unique_ptr<membership::MemberTable> table;
    SimulatedProcess process;
    bool state_cut = false;
    double rate = 1;
    double offset = 0;
    bool leads = false;
    double well_since = 0;
    double renewed_at = 0;
  };
  struct Stored {
    membership::MemberRecord record;
    uint64_t version;
  };

  void StartProcess(const std::string& name);
  // Runs `run` after the delay, when the process that is there now gets its turn.
  void InProcessAfter(double delay_s, const std::string& name, std::function<void()> run);

  void ScheduleTick(const std::string& name, double delay_s);
  void Tick(const std::string& name);
  // On a busy node, every now and then.
  void Stall(const std::string& name);
  bool Well(const Node& node) const;
  bool StateReachable(const Node& node) const { return !outage_ && !node.state_cut; }

  // How long a message takes; nothing: it is lost for good.
  std::optional<double> Travel(const std::string& from, const std::string& to);
  void Deliver(const std::string& from, const std::string& to, std::function<void()> receive);
  void Probe(const std::string& from, const std::string& to);

  // The members' records on the state service.
  void Submit(const std::string& name, const membership::Proposal& proposal);
  bool Commit(const std::string& by, const membership::Proposal& proposal);
  void NoteVerdict(const std::string& by, const membership::Proposal& proposal);
  uint64_t VersionOf(const std::string& key) const;
  // The watch of one node brings the record as it is by then.
  void NotifyWatch(const std::string& name, const std::string& subject);
  void TakeRecord(const std::string& name, const std::string& subject);
  void Resync(const std::string& name);

  // The leader's lease on the state service.
  bool LeaseStands() const { return !leader_.empty() && (outage_ || now() < leader_until_); }
  void ScheduleLease(const std::string& name, double delay_s);
  void ReviewLease(const std::string& name);
  void EndJudgedLeader(const std::string& by);

  const Options options_;
  Random random_;
  EventQueue events_;
  std::vector<std::string> names_;
  std::map<std::string, Node> nodes_;
  std::set<std::pair<std::string, std::string>> cuts_;            // from, to
  std::map<std::pair<std::string, std::string>, double> delays_;  // by from, to
  bool outage_ = false;
  std::map<std::string, Stored> records_;
  uint64_t revision_ = 0;
  std::string leader_;
  uint64_t leader_process_ = 0;
  double leader_until_ = -std::numeric_limits<double>::infinity();
  uint64_t token_ = 0;
  std::vector<Verdict> verdicts_;
  std::vector<Handover> handovers_;
  size_t suspicions_ = 0;
  int lose_verdict_answers_ = 0;
  std::function<void(const std::string& by)> on_verdict_sent_;
};

}  // namespace hallpier::testing_support
