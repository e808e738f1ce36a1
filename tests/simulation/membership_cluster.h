// Simulates the membership of several nodes in fake time. The network delays and loses messages and
// is partitioned in one or both directions. The state service offers preconditions, watches and the
// leader's lease. Nodes freeze, terminate and restart, and each has a separate clock. One seed
// determines the whole run. The tests and tools/membership_report use it.
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
    double delay_s = 0.001;  // minimum one-way delay of a message; up to twice as long
    double loss = 0;  // probability that a message is lost and retransmitted after retransmit_s
    double retransmit_s = 0.2;
    double state_delay_s = 0.004;
    double pause_probability = 0;  // probability that a node pauses after a tick
    double max_pause_s = 0;        // maximum length of such a pause
    bool membership = true;        // if false, only the leader's lease detects failures
  };

  // Recorded events, with the true time.
  struct FailureDeclaration {
    double at;
    std::string node;
    std::string by;
    uint64_t session;
    // True if the node declared failed ran and reached the state service for long enough to refute
    // the suspicion.
    bool was_healthy;
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
  // Returns false if the condition does not become true within `limit_s` seconds.
  bool RunUntil(const std::function<bool()>& condition, double limit_s);
  void At(double delay_s, std::function<void()> run) { events_.At(delay_s, std::move(run)); }

  // Fault injection.
  void Freeze(const std::string& name) { nodes_.at(name).process.Freeze(); }
  void Resume(const std::string& name);
  void Kill(const std::string& name) { nodes_.at(name).process.End(); }
  void Restart(const std::string& name);
  // Starts a second process with the same node name, as on another machine. It takes over the
  // messages of the first.
  void StartDuplicateProcess(const std::string& name) { StartProcess(name); }
  void CutOneWay(const std::string& from, const std::string& to, bool cut);
  void Cut(const std::string& a, const std::string& b, bool cut);
  void CutFromState(const std::string& name, bool cut);
  void SetStateOutage(bool outage);
  void SetDelay(const std::string& a, const std::string& b, double delay_s);
  void SetClockRate(const std::string& name, double clock_rate);
  // Loses the answers to the next `count` transactions that declare a member failed. The
  // transactions are executed.
  void LoseFailureDeclarationAnswers(int count) { lose_failure_declaration_answers_ = count; }
  // Sets a hook for the next transaction that declares a member failed. It is called once, after
  // the transaction was sent and before it arrives.
  void OnFailureDeclarationSent(std::function<void(const std::string& by)> hook) {
    on_failure_declaration_sent_ = std::move(hook);
  }
  // Delivers the current status of `from` to `to` after the delay, regardless of partitions.
  void DelayAnswer(const std::string& from, const std::string& to, double delay_s);

  // Recorded events and current state.
  const std::vector<FailureDeclaration>& failure_declarations() const {
    return failure_declarations_;
  }
  size_t FalseFailureDeclarations() const;
  const std::vector<Handover>& handovers() const { return handovers_; }
  size_t suspicions() const { return suspicions_; }
  // Returns the holder of the leader's lease. Empty if there is no leader.
  std::string Leader() const { return LeaseIsValid() ? leader_ : std::string(); }
  std::optional<membership::MemberRecord> Record(const std::string& name) const;
  // Returns true if every running node is an active member and sees every other running node as
  // alive, and one of them is the leader.
  bool Converged();
  // Returns the state of `subject` in the member table of `observer`.
  model::MemberState ObservedState(const std::string& observer, const std::string& subject);
  // Returns the time on the node's clock.
  double LocalNow(const std::string& name) const;

 private:
  struct Node {
    std::unique_ptr<membership::MemberTable> table;
    SimulatedProcess process;
    bool state_cut = false;
    double clock_rate = 1;
    double clock_offset = 0;
    bool is_leader = false;
    double healthy_since = 0;
    double renewed_at = 0;
  };
  struct Stored {
    membership::MemberRecord record;
    uint64_t version;
  };

  void StartProcess(const std::string& name);
  // Runs `run` after the delay in the current process of the node. Deferred while the process is
  // frozen; dropped if it has ended.
  void InProcessAfter(double delay_s, const std::string& name, std::function<void()> run);

  void ScheduleTick(const std::string& name, double delay_s);
  void Tick(const std::string& name);
  // Freezes the node at random, with Options::pause_probability, to simulate load.
  void PauseIfBusy(const std::string& name);
  bool Healthy(const Node& node) const;
  bool StateReachable(const Node& node) const { return !outage_ && !node.state_cut; }

  // Returns the delay of a message; std::nullopt if the connection is cut.
  std::optional<double> DrawDelay(const std::string& from, const std::string& to);
  void Deliver(const std::string& from, const std::string& to, std::function<void()> receive);
  void Probe(const std::string& from, const std::string& to);

  // Member records in the state service.
  void Submit(const std::string& name, const membership::Proposal& proposal);
  bool Commit(const std::string& by, const membership::Proposal& proposal);
  void RecordFailureDeclaration(const std::string& by, const membership::Proposal& proposal);
  uint64_t VersionOf(const std::string& key) const;
  // Delivers the member record of `subject` to the node's watch, as the record is at the time of
  // delivery.
  void NotifyWatch(const std::string& name, const std::string& subject);
  void ApplyRecord(const std::string& name, const std::string& subject);
  void Resync(const std::string& name);

  // The leader's lease in the state service.
  bool LeaseIsValid() const { return !leader_.empty() && (outage_ || now() < leader_until_); }
  void ScheduleLease(const std::string& name, double delay_s);
  void ReviewLease(const std::string& name);
  void ExpireFailedLeader(const std::string& by);

  const Options options_;
  Random random_;
  EventQueue events_;
  std::vector<std::string> names_;
  std::map<std::string, Node> nodes_;
  std::set<std::pair<std::string, std::string>> cuts_;            // (from, to)
  std::map<std::pair<std::string, std::string>, double> delays_;  // by (from, to)
  bool outage_ = false;
  std::map<std::string, Stored> records_;
  uint64_t revision_ = 0;
  std::string leader_;
  uint64_t leader_generation_ = 0;
  double leader_until_ = -std::numeric_limits<double>::infinity();
  uint64_t token_ = 0;
  std::vector<FailureDeclaration> failure_declarations_;
  std::vector<Handover> handovers_;
  size_t suspicions_ = 0;
  int lose_failure_declaration_answers_ = 0;
  std::function<void(const std::string& by)> on_failure_declaration_sent_;
};

}  // namespace hallpier::testing_support
