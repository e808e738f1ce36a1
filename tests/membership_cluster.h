// Several nodes' membership in fake time: a network that delays, drops and cuts one way or both, a
// state service with guards, watches and a leader's lease, nodes that freeze, end, come back and
// have clocks of their own. All from one seed. Serves the tests and tools/membership_report.
#pragma once

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "membership/member_table.h"
#include "model/ids.h"
#include "model/key_value.h"
#include "model/member.h"
#include "store/keys.h"

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
    std::string node, by;
    uint64_t session;
    bool
        was_well;  // the judged process ran and reached the state service for long enough to refute
  };
  struct Handover {
    double at;
    std::string to;
    uint64_t token;
  };

  explicit MembershipCluster(Options options) : options_(options), random_(options.seed) {
    for (int i = 0; i < options_.nodes; ++i) names_.push_back("node-" + std::to_string(i));
    for (const std::string& name : names_) {
      Node& node = nodes_[name];
      node.offset = std::uniform_real_distribution<double>(0, 1000)(random_);
      StartProcess(name);
    }
  }

  double now() const { return now_; }
  const std::vector<std::string>& names() const { return names_; }
  std::string Name(int i) const { return names_.at(static_cast<size_t>(i)); }
  membership::MemberTable& Table(const std::string& name) { return *nodes_.at(name).table; }

  void RunFor(double s) {
    const double end = now_ + s;
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = end;
  }
  bool RunUntil(const std::function<bool()>& f, double limit_s) {
    const double end = now_ + limit_s;
    while (!f() && now_ < end) RunFor(0.01);
    return f();
  }
  void At(double delay_s, std::function<void()> f) {
    events_.push({now_ + delay_s, ++sequence_, std::move(f)});
  }

  // Faults.
  void Freeze(const std::string& name) { nodes_.at(name).frozen = true; }
  void Resume(const std::string& name) {
    Node& node = nodes_.at(name);
    if (!node.frozen) return;
    node.frozen = false;
    node.well_since = now_;
    // All that came meanwhile is in its buffers.
    std::vector<std::function<void()>> backlog = std::move(node.backlog);
    node.backlog.clear();
    for (auto& f : backlog) f();
  }
  void Kill(const std::string& name) {
    Node& node = nodes_.at(name);
    node.running = node.frozen = false;
    node.backlog.clear();
    ++node.process;
  }
  void Restart(const std::string& name) {
    Kill(name);
    StartProcess(name);
  }
  // A second process of the same name, on another machine.
  void StartTwin(const std::string& name) { StartProcess(name); }
  void CutOneWay(const std::string& from, const std::string& to, bool cut) {
    if (cut) {
      cuts_.insert({from, to});
    } else {
      cuts_.erase({from, to});
    }
  }
  void Cut(const std::string& a, const std::string& b, bool cut) {
    CutOneWay(a, b, cut);
    CutOneWay(b, a, cut);
  }
  void CutFromState(const std::string& name, bool cut) {
    nodes_.at(name).state_cut = cut;
    if (cut) return;
    nodes_.at(name).well_since = now_;
    Resync(name);
  }
  void SetStateOutage(bool outage) {
    outage_ = outage;
    if (outage) return;
    // Every lease has its full time again.
    leader_until_ = now_ + options_.leader_ttl_s;
    for (const std::string& name : names_) {
      nodes_.at(name).well_since = now_;
      Resync(name);
    }
  }
  void SetDelay(const std::string& a, const std::string& b, double delay_s) {
    delays_[{a, b}] = delays_[{b, a}] = delay_s;
  }
  void SetClockRate(const std::string& name, double rate) {
    Node& node = nodes_.at(name);
    node.offset = LocalNow(name) - rate * now_;
    node.rate = rate;
  }
  // The next so many transactions that would write a verdict are carried out, and no answer comes.
  void LoseVerdictAnswers(int count) { lose_verdict_answers_ = count; }
  // Takes place in the midst of the next transaction with a verdict: after it was sent.
  void OnVerdictSent(std::function<void(const std::string& by)> f) {
    on_verdict_sent_ = std::move(f);
  }

  // What is so.
  const std::vector<Verdict>& verdicts() const { return verdicts_; }
  size_t WrongVerdicts() const {
    return static_cast<size_t>(std::count_if(verdicts_.begin(), verdicts_.end(),
                                             [](const Verdict& v) { return v.was_well; }));
  }
  const std::vector<Handover>& handovers() const { return handovers_; }
  size_t suspicions() const { return suspicions_; }
  std::string Leader() const { return LeaseStands() ? leader_ : std::string(); }
  std::optional<membership::MemberRecord> Record(const std::string& name) const {
    auto it = records_.find(name);
    return it == records_.end() ? std::nullopt : std::optional(it->second.record);
  }
  // Every running node sees every running node alive, and one that is in good standing leads.
  bool Settled() {
    for (const auto& [name, node] : nodes_) {
      if (!node.running || node.frozen) continue;
      if (!node.table->InGoodStanding()) return false;
      for (const wire::MemberRow& row : node.table->Rows(LocalNow(name))) {
        const Node& other = nodes_.at(row.node);
        const bool alive = other.running && !other.frozen;
        if (alive && row.state != model::MemberState::kAlive) return false;
      }
    }
    if (Leader().empty()) return false;
    const Node& leader = nodes_.at(leader_);
    return leader.running && leader.leads && leader.process == leader_process_;
  }
  // The state as this node's own table has it.
  model::MemberState Seen(const std::string& by, const std::string& of) {
    for (const wire::MemberRow& row : Table(by).Rows(LocalNow(by))) {
      if (row.node == of) return row.state;
    }
    return model::MemberState::kAlive;
  }
  // Delivers what `from` would say now to `to`, later, whatever the links are.
  void HoldBackAnswer(const std::string& from, const std::string& to, double delay_s) {
    const wire::MemberStatus status = Table(from).Status(LocalNow(from));
    const double asked = LocalNow(to);
    At(delay_s,
       [this, status, to, asked] { nodes_.at(to).table->OnAnswer(status, asked, LocalNow(to)); });
  }
  double LocalNow(const std::string& name) const {
    const Node& node = nodes_.at(name);
    return node.offset + node.rate * now_;
  }

 private:
  struct Event {
    double at;
    uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : sequence > o.sequence; }
  };
  struct Node {
    std::unique_ptr<membership::MemberTable> table;
    bool running = false;
    bool frozen = false;
    bool state_cut = false;
    double rate = 1;
    double offset = 0;
    uint64_t process = 0;
    bool leads = false;
    double well_since = 0;
    double renewed_at = 0;
    std::vector<std::function<void()>> backlog;
  };
  struct Stored {
    membership::MemberRecord record;
    uint64_t version;
  };

  void StartProcess(const std::string& name) {
    Node& node = nodes_.at(name);
    node.running = true;
    node.frozen = false;
    ++node.process;
    node.leads = false;
    node.well_since = now_;
    membership::MemberTable::Options options;
    options.node = name;
    options.others = names_;
    options.silence = {options_.probe_s, options_.missed_probes};
    options.confirm_probes = options_.confirm_probes;
    options.instance = std::uniform_int_distribution<uint64_t>(1)(random_);
    node.table = std::make_unique<membership::MemberTable>(std::move(options), LocalNow(name));
    Resync(name);
    const double first = std::uniform_real_distribution<double>(0, options_.probe_s)(random_);
    ScheduleTick(name, first);
    ScheduleLease(name, first);
  }

  // Runs when the node gets its turn: at once, on waking, or never if this process has ended.
  void InProcess(const std::string& name, uint64_t process, const std::function<void()>& f) {
    Node& node = nodes_.at(name);
    if (node.process != process) return;
    if (node.frozen) {
      node.backlog.emplace_back([this, name, process, f] { InProcess(name, process, f); });
    } else {
      f();
    }
  }

  void ScheduleTick(const std::string& name, double delay_s) {
    const uint64_t process = nodes_.at(name).process;
    At(delay_s, [this, name, process] { InProcess(name, process, [this, name] { Tick(name); }); });
  }

  bool Well(const Node& node) const { return node.running && !node.frozen && StateReachable(node); }
  bool StateReachable(const Node& node) const { return !outage_ && !node.state_cut; }

  void Tick(const std::string& name) {
    Node& node = nodes_.at(name);
    if (options_.membership) {
      for (const membership::Proposal& proposal :
           node.table->Tick(LocalNow(name), StateReachable(node))) {
        Submit(name, proposal);
      }
      EndJudgedLeader(name);
      for (const std::string& other : names_) {
        if (other != name) Probe(name, other);
      }
    }
    ScheduleTick(name, options_.probe_s / node.rate);
    Stall(name);
  }

  // On a busy node, every now and then.
  void Stall(const std::string& name) {
    std::uniform_real_distribution<double> unit(0, 1);
    if (options_.busy <= 0 || unit(random_) >= options_.busy) return;
    const uint64_t process = nodes_.at(name).process;
    Freeze(name);
    At(unit(random_) * options_.busy_s, [this, name, process] {
      if (nodes_.at(name).process == process) Resume(name);
    });
  }

  // How long a message takes; nothing: it is lost for good.
  std::optional<double> Travel(const std::string& from, const std::string& to) {
    if (cuts_.contains({from, to})) return std::nullopt;
    auto slow = delays_.find({from, to});
    const double least = slow == delays_.end() ? options_.delay_s : slow->second;
    std::uniform_real_distribution<double> unit(0, 1);
    double delay_s = least * (1 + unit(random_));
    while (unit(random_) < options_.loss) delay_s += options_.retransmit_s;
    return delay_s;
  }

  void Deliver(const std::string& from, const std::string& to, const std::function<void()>& f) {
    const std::optional<double> delay_s = Travel(from, to);
    if (!delay_s || !nodes_.at(to).running) return;
    const uint64_t process = nodes_.at(to).process;
    At(*delay_s, [this, to, process, f] { InProcess(to, process, f); });
  }

  void Probe(const std::string& from, const std::string& to) {
    const double asked = LocalNow(from);
    const uint64_t prober = nodes_.at(from).process;
    const wire::MemberStatus status = Table(from).Status(asked);
    Deliver(from, to, [this, from, to, asked, status, prober] {
      Table(to).OnProbe(status);
      const wire::MemberStatus answer = Table(to).Status(LocalNow(to));
      Deliver(to, from, [this, from, asked, answer, prober] {
        if (nodes_.at(from).process != prober) return;
        Table(from).OnAnswer(answer, asked, LocalNow(from));
      });
    });
  }

  void Submit(const std::string& name, const membership::Proposal& proposal) {
    const uint64_t process = nodes_.at(name).process;
    if (proposal.kind == membership::Proposal::Kind::kVerdict && on_verdict_sent_) {
      auto f = std::exchange(on_verdict_sent_, nullptr);
      f(name);
    }
    At(options_.state_delay_s, [this, name, process, proposal] {
      const bool carried = StateReachable(nodes_.at(name)) && Commit(name, proposal);
      bool answered = true;
      if (carried && proposal.kind == membership::Proposal::Kind::kVerdict &&
          lose_verdict_answers_ > 0) {
        --lose_verdict_answers_;
        answered = false;
      }
      At(answered ? options_.state_delay_s : 1.0, [this, name, process, proposal] {
        InProcess(name, process, [this, name, proposal] {
          Table(name).OnProposalDone(proposal.node, LocalNow(name));
        });
      });
    });
  }

  uint64_t VersionOf(const std::string& key) const {
    for (const auto& [name, stored] : records_) {
      if (store::MemberKey(name) == key) return stored.version;
    }
    return 0;
  }

  bool Commit(const std::string& by, const membership::Proposal& proposal) {
    for (const model::Precondition& precondition : proposal.preconditions) {
      if (VersionOf(precondition.key) != precondition.version) return false;
    }
    if (proposal.kind == membership::Proposal::Kind::kSuspect) ++suspicions_;
    if (proposal.kind == membership::Proposal::Kind::kVerdict) {
      const Node& judged = nodes_.at(proposal.node);
      verdicts_.push_back({now_, proposal.node, by, proposal.record.incarnation.session,
                           Well(judged) && now_ - judged.well_since > kTimeToRefuteS});
    }
    records_[proposal.node] = {proposal.record, ++revision_};
    for (const std::string& name : names_) Tell(name, proposal.node);
    return true;
  }

  // The watch of one node brings the record as it is by then.
  void Tell(const std::string& name, const std::string& subject) {
    const uint64_t process = nodes_.at(name).process;
    At(options_.state_delay_s, [this, name, subject, process] {
      InProcess(name, process, [this, name, subject] {
        if (StateReachable(nodes_.at(name))) TakeRecord(name, subject);
      });
    });
  }
  void TakeRecord(const std::string& name, const std::string& subject) {
    auto it = records_.find(subject);
    if (it == records_.end()) return;
    Table(name).OnRecord(subject, it->second.record, it->second.version, LocalNow(name));
  }
  void Resync(const std::string& name) {
    for (const std::string& subject : names_) Tell(name, subject);
  }

  // The leader's lease on the state service.
  bool LeaseStands() const { return !leader_.empty() && (outage_ || now_ < leader_until_); }
  void ScheduleLease(const std::string& name, double delay_s) {
    const uint64_t process = nodes_.at(name).process;
    At(delay_s,
       [this, name, process] { InProcess(name, process, [this, name] { ReviewLease(name); }); });
  }
  void ReviewLease(const std::string& name) {
    Node& node = nodes_.at(name);
    if (StateReachable(node)) {
      if (node.leads && (!LeaseStands() || leader_ != name || node.process != leader_process_)) {
        node.leads = false;
      }
      const bool allowed = !options_.membership || node.table->InGoodStanding();
      const bool due = now_ - node.renewed_at >= options_.leader_ttl_s / kRenewals;
      if (node.leads && due) {
        node.renewed_at = now_;
        leader_until_ = now_ + options_.leader_ttl_s;
      } else if (!node.leads && !LeaseStands() && allowed) {
        leader_ = name;
        leader_process_ = node.process;
        leader_until_ = now_ + options_.leader_ttl_s;
        node.leads = true;
        node.renewed_at = now_;
        handovers_.push_back({now_, name, ++token_});
      }
    }
    ScheduleLease(name, std::min(options_.leader_ttl_s / kRenewals, options_.probe_s) / node.rate);
  }
  void EndJudgedLeader(const std::string& by) {
    if (leader_.empty() || leader_ == by || !StateReachable(nodes_.at(by))) return;
    if (!Table(by).Failed(leader_)) return;
    leader_until_ = std::min(leader_until_, now_);
  }

  // A tick after a refused proposal, the watch and a transaction fit in.
  static constexpr double kTimeToRefuteS = 1;
  // A leader renews its lease so often within its length, as election/leader_election.cc does.
  static constexpr double kRenewals = 3;

  const Options options_;
  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::map<std::string, Node> nodes_;
  std::priority_queue<Event> events_;
  uint64_t sequence_ = 0;
  double now_ = 0;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::pair<std::string, std::string>, double> delays_;
  bool outage_ = false;
  std::map<std::string, Stored> records_;
  uint64_t revision_ = 0;
  std::string leader_;
  uint64_t leader_process_ = 0;
  double leader_until_ = -std::numeric_limits<double>::infinity();
  uint64_t token_;
  std::vector<Verdict> verdicts_;
  std::vector<Handover> handovers_;
  size_t suspicions_ = 0;
  int lose_verdict_answers_ = 0;
  std::function<void(const std::string& by)> on_verdict_sent_;
};

}  // namespace hallpier::testing_support
