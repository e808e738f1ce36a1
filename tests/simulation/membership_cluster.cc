#include "simulation/membership_cluster.h"

#include <algorithm>

#include "model/key_value.h"
#include "store/keys.h"
#include "store/records.h"

namespace hallpier::testing_support {
namespace {

// A node can refute a suspicion within this time, which is long enough for a tick after a rejected
// proposal, the watch event and a transaction.
constexpr double kTimeToRefuteS = 1;
// Renewals of the leader's lease within its duration, as in election/leader_election.cc.
constexpr double kRenewalsPerLease = 3;
constexpr double kStepS = 0.01;
constexpr double kMaxClockOffsetS = 1000;
// A node gives up on a transaction without an answer after this time.
constexpr double kTransactionTimeoutS = 1;

}  // namespace

MembershipCluster::MembershipCluster(Options options) : options_(options), random_(options.seed) {
  for (int i = 0; i < options_.nodes; ++i) names_.push_back("node-" + std::to_string(i));
  for (const std::string& name : names_) {
    nodes_[name].clock_offset = random_.Uniform(0, kMaxClockOffsetS);
    StartProcess(name);
  }
}

bool MembershipCluster::RunUntil(const std::function<bool()>& condition, double limit_s) {
  return events_.RunUntil(condition, limit_s, kStepS);
}

void MembershipCluster::Resume(const std::string& name) {
  Node& node = nodes_.at(name);
  if (!node.process.frozen()) return;
  node.healthy_since = now();
  node.process.Resume();
}

void MembershipCluster::Restart(const std::string& name) {
  Kill(name);
  StartProcess(name);
}

void MembershipCluster::CutOneWay(const std::string& from, const std::string& to, bool cut) {
  if (cut) {
    cuts_.insert({from, to});
  } else {
    cuts_.erase({from, to});
  }
}

void MembershipCluster::Cut(const std::string& a, const std::string& b, bool cut) {
  CutOneWay(a, b, cut);
  CutOneWay(b, a, cut);
}

void MembershipCluster::CutFromState(const std::string& name, bool cut) {
  nodes_.at(name).state_cut = cut;
  if (cut) return;
  nodes_.at(name).healthy_since = now();
  Resync(name);
}

void MembershipCluster::SetStateOutage(bool outage) {
  outage_ = outage;
  if (outage) return;
  // After an outage every lease has its full duration again.
  leader_until_ = now() + options_.leader_ttl_s;
  for (const std::string& name : names_) {
    nodes_.at(name).healthy_since = now();
    Resync(name);
  }
}

void MembershipCluster::SetDelay(const std::string& a, const std::string& b, double delay_s) {
  delays_[{a, b}] = delays_[{b, a}] = delay_s;
}

void MembershipCluster::SetClockRate(const std::string& name, double clock_rate) {
  Node& node = nodes_.at(name);
  node.clock_offset = LocalNow(name) - clock_rate * now();
  node.clock_rate = clock_rate;
}

void MembershipCluster::DelayAnswer(const std::string& from, const std::string& to,
                                    double delay_s) {
  const wire::MemberStatus status = Table(from).Status(LocalNow(from));
  const double sent = LocalNow(to);
  At(delay_s, [this, status, to, sent] { Table(to).OnProbeResponse(status, sent, LocalNow(to)); });
}

size_t MembershipCluster::FalseFailureDeclarations() const {
  return static_cast<size_t>(
      std::count_if(failure_declarations_.begin(), failure_declarations_.end(),
                    [](const FailureDeclaration& declaration) { return declaration.was_healthy; }));
}

std::optional<membership::MemberRecord> MembershipCluster::Record(const std::string& name) const {
  auto it = records_.find(name);
  return it == records_.end() ? std::nullopt : std::optional(it->second.record);
}

bool MembershipCluster::Converged() {
  for (const auto& [name, node] : nodes_) {
    if (!node.process.running() || node.process.frozen()) continue;
    if (!node.table->IsActiveMember()) return false;
    for (const wire::MemberRow& row : node.table->Rows(LocalNow(name))) {
      const SimulatedProcess& other = nodes_.at(row.node).process;
      const bool alive = other.running() && !other.frozen();
      if (alive && row.state != model::MemberState::kAlive) return false;
    }
  }
  if (Leader().empty()) return false;
  const Node& leader = nodes_.at(leader_);
  return leader.process.running() && leader.is_leader &&
         leader.process.generation() == leader_generation_;
}

model::MemberState MembershipCluster::ObservedState(const std::string& observer,
                                                    const std::string& subject) {
  for (const wire::MemberRow& row : Table(observer).Rows(LocalNow(observer))) {
    if (row.node == subject) return row.state;
  }
  return model::MemberState::kAlive;
}

double MembershipCluster::LocalNow(const std::string& name) const {
  const Node& node = nodes_.at(name);
  return node.clock_offset + node.clock_rate * now();
}

void MembershipCluster::StartProcess(const std::string& name) {
  Node& node = nodes_.at(name);
  node.process.Start();
  node.is_leader = false;
  node.healthy_since = now();
  membership::MemberTable::Options options;
  options.node = name;
  options.others = names_;
  options.probes = {options_.probe_s, options_.missed_probes};
  options.confirm_probes = options_.confirm_probes;
  options.instance = random_.Identifier();
  node.table = std::make_unique<membership::MemberTable>(std::move(options), LocalNow(name));
  Resync(name);
  const double first = random_.Uniform(0, options_.probe_s);
  ScheduleTick(name, first);
  ScheduleLease(name, first);
}

void MembershipCluster::InProcessAfter(double delay_s, const std::string& name,
                                       std::function<void()> run) {
  Node& node = nodes_.at(name);
  At(delay_s, [&node, generation = node.process.generation(), run = std::move(run)] {
    node.process.RunOrDefer(generation, run);
  });
}

void MembershipCluster::ScheduleTick(const std::string& name, double delay_s) {
  InProcessAfter(delay_s, name, [this, name] { Tick(name); });
}

bool MembershipCluster::Healthy(const Node& node) const {
  return node.process.running() && !node.process.frozen() && StateReachable(node);
}

void MembershipCluster::Tick(const std::string& name) {
  Node& node = nodes_.at(name);
  if (options_.membership) {
    for (const membership::Proposal& proposal :
         node.table->Tick(LocalNow(name), StateReachable(node))) {
      Submit(name, proposal);
    }
    ExpireFailedLeader(name);
    for (const std::string& other : names_) {
      if (other != name) Probe(name, other);
    }
  }
  ScheduleTick(name, options_.probe_s / node.clock_rate);
  PauseIfBusy(name);
}

void MembershipCluster::PauseIfBusy(const std::string& name) {
  if (options_.pause_probability <= 0 || random_.Uniform(0, 1) >= options_.pause_probability)
    return;
  const uint64_t generation = nodes_.at(name).process.generation();
  Freeze(name);
  At(random_.Uniform(0, 1) * options_.max_pause_s, [this, name, generation] {
    if (nodes_.at(name).process.generation() == generation) Resume(name);
  });
}

std::optional<double> MembershipCluster::DrawDelay(const std::string& from, const std::string& to) {
  if (cuts_.contains({from, to})) return std::nullopt;
  auto override_delay = delays_.find({from, to});
  const double min = override_delay == delays_.end() ? options_.delay_s : override_delay->second;
  double delay_s = min * (1 + random_.Uniform(0, 1));
  while (random_.Uniform(0, 1) < options_.loss) delay_s += options_.retransmit_s;
  return delay_s;
}

void MembershipCluster::Deliver(const std::string& from, const std::string& to,
                                std::function<void()> receive) {
  const std::optional<double> delay_s = DrawDelay(from, to);
  if (!delay_s || !nodes_.at(to).process.running()) return;
  InProcessAfter(*delay_s, to, std::move(receive));
}

void MembershipCluster::Probe(const std::string& from, const std::string& to) {
  const double sent = LocalNow(from);
  const uint64_t prober = nodes_.at(from).process.generation();
  const wire::MemberStatus status = Table(from).Status(sent);
  Deliver(from, to, [this, from, to, sent, status, prober] {
    Table(to).OnProbe(status);
    const wire::MemberStatus answer = Table(to).Status(LocalNow(to));
    Deliver(to, from, [this, from, sent, answer, prober] {
      if (nodes_.at(from).process.generation() != prober) return;
      Table(from).OnProbeResponse(answer, sent, LocalNow(from));
    });
  });
}

void MembershipCluster::Submit(const std::string& name, const membership::Proposal& proposal) {
  const uint64_t generation = nodes_.at(name).process.generation();
  const bool declares_failure = proposal.kind == membership::Proposal::Kind::kDeclareFailed;
  if (declares_failure && on_failure_declaration_sent_) {
    auto hook = std::exchange(on_failure_declaration_sent_, nullptr);
    hook(name);
  }
  At(options_.state_delay_s, [this, name, generation, proposal, declares_failure] {
    const bool committed = StateReachable(nodes_.at(name)) && Commit(name, proposal);
    const bool answer_lost = committed && declares_failure && lose_failure_declaration_answers_ > 0;
    if (answer_lost) --lose_failure_declaration_answers_;
    At(answer_lost ? kTransactionTimeoutS : options_.state_delay_s,
       [this, name, generation, proposal] {
         nodes_.at(name).process.RunOrDefer(generation, [this, name, proposal] {
           Table(name).OnProposalDone(proposal.node, LocalNow(name));
         });
       });
  });
}

uint64_t MembershipCluster::VersionOf(const std::string& key) const {
  for (const auto& [name, stored] : records_) {
    if (store::MemberKey(name) == key) return stored.version;
  }
  return 0;
}

bool MembershipCluster::Commit(const std::string& by, const membership::Proposal& proposal) {
  for (const model::Precondition& precondition : proposal.preconditions) {
    if (VersionOf(precondition.key) != precondition.version) return false;
  }
  if (proposal.kind == membership::Proposal::Kind::kSuspect) ++suspicions_;
  if (proposal.kind == membership::Proposal::Kind::kDeclareFailed)
    RecordFailureDeclaration(by, proposal);
  records_[proposal.node] = {proposal.record, ++revision_};
  for (const std::string& name : names_) NotifyWatch(name, proposal.node);
  return true;
}

void MembershipCluster::RecordFailureDeclaration(const std::string& by,
                                                 const membership::Proposal& proposal) {
  const Node& failed = nodes_.at(proposal.node);
  const bool was_healthy = Healthy(failed) && now() - failed.healthy_since > kTimeToRefuteS;
  failure_declarations_.push_back({.at = now(),
                                   .node = proposal.node,
                                   .by = by,
                                   .session = proposal.record.incarnation.session,
                                   .was_healthy = was_healthy});
}

void MembershipCluster::NotifyWatch(const std::string& name, const std::string& subject) {
  InProcessAfter(options_.state_delay_s, name, [this, name, subject] {
    if (StateReachable(nodes_.at(name))) ApplyRecord(name, subject);
  });
}

void MembershipCluster::ApplyRecord(const std::string& name, const std::string& subject) {
  auto it = records_.find(subject);
  if (it == records_.end()) return;
  Table(name).OnRecord(subject, it->second.record, it->second.version, LocalNow(name));
}

void MembershipCluster::Resync(const std::string& name) {
  for (const std::string& subject : names_) NotifyWatch(name, subject);
}

void MembershipCluster::ScheduleLease(const std::string& name, double delay_s) {
  InProcessAfter(delay_s, name, [this, name] { ReviewLease(name); });
}

void MembershipCluster::ReviewLease(const std::string& name) {
  Node& node = nodes_.at(name);
  if (StateReachable(node)) {
    const bool same_process = leader_ == name && node.process.generation() == leader_generation_;
    if (node.is_leader && (!LeaseIsValid() || !same_process)) node.is_leader = false;
    const bool allowed = !options_.membership || node.table->IsActiveMember();
    const bool due = now() - node.renewed_at >= options_.leader_ttl_s / kRenewalsPerLease;
    if (node.is_leader && due) {
      node.renewed_at = now();
      leader_until_ = now() + options_.leader_ttl_s;
    } else if (!node.is_leader && !LeaseIsValid() && allowed) {
      leader_ = name;
      leader_generation_ = node.process.generation();
      leader_until_ = now() + options_.leader_ttl_s;
      node.is_leader = true;
      node.renewed_at = now();
      handovers_.push_back({.at = now(), .to = name, .token = ++token_});
    }
  }
  ScheduleLease(name, std::min(options_.leader_ttl_s / kRenewalsPerLease, options_.probe_s) /
                          node.clock_rate);
}

void MembershipCluster::ExpireFailedLeader(const std::string& by) {
  if (leader_.empty() || leader_ == by || !StateReachable(nodes_.at(by))) return;
  if (!Table(by).Failed(leader_)) return;
  leader_until_ = std::min(leader_until_, now());
}

}  // namespace hallpier::testing_support
