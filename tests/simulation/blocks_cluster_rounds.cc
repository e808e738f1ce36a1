// What a node of BlocksCluster does in its rounds, as leader, as holder of a block, or as neither.
#include <algorithm>

#include "blocks/view_sender.h"
#include "fleet/reconciliation.h"
#include "fleet/task_outcomes.h"
#include "plan/round.h"
#include "simulation/blocks_cluster.h"
#include "simulation/blocks_cluster_constants.h"

namespace hallpier::testing_support {
namespace {

// A node that is away for longer is judged as failed.
constexpr double kVerdictS = 2;
constexpr double kLeaderTtlS = 1;
// An answer to a heartbeat that is older is given up.
constexpr double kHeartbeatTimeoutS = 1;
constexpr blocks::WriteLimits kWriteLimits = {8, 8192};

}  // namespace

void BlocksCluster::Tick(const std::string& name, uint64_t process) {
  SimulatedProcess& self = processes_.at(name);
  self.InTurn(process, [this, name] {
    Node& node = NodeOf(name);
    Follow(node);
    ElectIfNeeded(node);
    if (!node.busy) Round(node);
  });
  if (self.number() != process) return;
  At(kTickS, [this, name, process] {
    if (processes_.at(name).number() == process) Tick(name, process);
  });
}

void BlocksCluster::ElectIfNeeded(Node& node) {
  if (!Reaches(node) || node.followed < store_.changes().size()) return;
  if (!leader_.empty()) {
    const Node& leader = NodeOf(leader_);
    const bool turns = leader.process->running() && !leader.process->frozen();
    if (turns && !leader.state_cut && leader.leads) {
      leader_seen_ = now();
      return;
    }
    if (now() - leader_seen_ < kLeaderTtlS) return;
  }
  BeginTerm(node);
}

void BlocksCluster::BeginTerm(Node& node) {
  leader_ = node.name;
  leader_seen_ = now();
  const std::string record = store::WriteFencingTokenRecord(node.name);
  Execute({}, {{store::FencingTokenKey(), record, 0}});
  node.leads = true;
  node.divides = options_.max_holders >= 2 && leaders_divide_;
  node.token = model::FencingToken(store_.revision());
  node.unanswered.clear();
  Put(node, store::FencingTokenKey(), record, store_.revision());
  node.registry = std::make_unique<fleet::WorkerRegistry>(RegistryOptions());
  node.registry->BeginTerm(node.token, now(), now() + settings_.lease_s / 2);
  node.lending = std::make_unique<blocks::Lending>(settings_, operators_.blocks);
  for (const std::string& other : names_) ReportMember(node, other);
  node.lending->BeginTerm(node.token, node.records, now());
  node.senders.clear();
}

void BlocksCluster::ReportMember(Node& leader, const std::string& name) {
  const Node& node = NodeOf(name);
  const bool turns = node.process->running() && !node.process->frozen();
  if (!turns && now() - node.away_since > kVerdictS) judged_.insert({name, node.session});
  const bool judged = judged_.contains({name, node.session});
  leader.lending->holders().OnMember(name, judged ? std::nullopt : std::optional(node.session));
}

void BlocksCluster::Rejoin(Node& node) {
  if (judged_.contains({node.name, node.session})) ++node.session;
}

void BlocksCluster::Round(Node& node) {
  if (!node.unanswered.empty()) {
    node.queue = std::exchange(node.unanswered, {});
    SendNext(node);
  } else if (node.leads) {
    LeaderRound(node);
  } else {
    HolderRound(node);
  }
}

void BlocksCluster::HolderRound(Node& node) {
  if (Reaches(node)) Rejoin(node);
  // Whoever was frozen or cut off plans by what it knows: the preconditions must hold.
  const auto holder = node.records.Holding(node.name, node.session, Copy(node));
  if (!holder) return;
  const plan::PlacementScope scope =
      node.records.HolderScope(*holder, WidenS(), now(), settings_, node.job_table);
  const plan::RoundResult plan =
      plan::PlanRound(node.context, node.job_table, node.mirror->registry(), now(), now(), &scope);
  Send(node, plan.placements, node.records.PlacementPreconditions(*holder), true);
}

void BlocksCluster::LeaderRound(Node& node) {
  const bool behind = node.followed < store_.changes().size();
  if (node.revision < node.token.value() && behind) return;
  std::optional<plan::PlacementScope> scope;
  if (node.divides && node.records.division().divided()) {
    scope = node.records.WholeScope(WidenS(), now());
  }
  node.registry->UpdateObservations(node.job_table);
  std::vector<jobs::TaskTransition> transitions =
      fleet::CollectTaskTransitions(*node.registry, node.job_table, now());
  plan::RoundResult plan = plan::PlanRound(node.context, node.job_table, *node.registry, now(),
                                           now(), scope ? &*scope : nullptr);
  for (const plan::Preemption& preemption : plan.preemptions) {
    node.registry->stop_requests().Add(preemption.task, preemption.attempt, preemption.grace_s);
  }
  OwnPlacements own{.places = {}, .preconditions = {store::FencingTokenPrecondition(node.token)}};
  if (node.divides) {
    if (ReviewBlocks(node, plan, scope)) return;
    SendViews(node);
    own = PlanOwnPlacements(node, scope.has_value());
  } else {
    own.places = std::move(plan.placements);
  }
  transitions.insert(transitions.end(), own.places.begin(), own.places.end());
  Send(node, transitions, own.preconditions, false);
  for (const auto& [name, machine] : node.registry->machines()) RequestHeartbeat(node, name);
}

BlocksCluster::OwnPlacements BlocksCluster::PlanOwnPlacements(Node& node, bool divided) {
  OwnPlacements own{.places = {}, .preconditions = {store::FencingTokenPrecondition(node.token)}};
  const auto holder = node.records.Holding(node.name, node.session, Copy(node));
  const bool undivided = !divided && !node.records.division().divided();
  if (undivided && node.revision >= node.records.newest()) {
    own.places =
        plan::PlanRound(node.context, node.job_table, *node.registry, now(), now()).placements;
  } else if (holder) {
    const plan::PlacementScope scope =
        node.records.HolderScope(*holder, WidenS(), now(), settings_, node.job_table);
    own.places = plan::PlanRound(node.context, node.job_table, *node.registry, now(), now(), &scope)
                     .placements;
    own.preconditions = node.records.PlacementPreconditions(*holder);
  }
  return own;
}

bool BlocksCluster::ReviewBlocks(Node& node, const plan::RoundResult& plan,
                                 const std::optional<plan::PlacementScope>& scope) {
  for (const std::string& other : names_) ReportMember(node, other);
  auto change = node.lending->ReviewDivision(node.records, Copy(node), true, now());
  if (!change && scope) {
    change = node.lending->ReviewShares(node.records, Copy(node), node.job_table, *node.registry,
                                        node.context, plan, *scope, kWriteLimits);
  }
  if (!change) return false;
  jobs::Transaction transaction;
  transaction.preconditions = std::move(change->preconditions);
  transaction.writes = std::move(change->writes);
  node.queue.push_back(std::move(transaction));
  SendNext(node);
  return true;
}

void BlocksCluster::SendViews(Node& leader) {
  const auto machines = blocks::DescribeMachines(*leader.registry, leader.job_table, now());
  for (const std::string& other : names_) {
    const Node& node = NodeOf(other);
    const bool linked = node.process->running() && !node.peer_cut && !leader.peer_cut;
    if (other == leader.name || !linked) continue;
    const auto holder = leader.records.division().IndexOf(other);
    for (const auto& view : leader.senders[other].Next(leader.token, leader.records.division(),
                                                       holder, machines, {})) {
      InProcessAfter(
          options_.delay_s, other, node.process->number(),
          [this, other, view, leader_name = leader.name, leading = leader.process->number(),
           asked = now()] { TakeView(other, view, leader_name, leading, asked); });
    }
  }
}

void BlocksCluster::TakeView(const std::string& holder, const wire::BlockView& view,
                             const std::string& leader_name, uint64_t leading, double asked) {
  const Node& node = NodeOf(holder);
  const auto sequence = node.mirror->Take(view, now());
  if (!sequence) return;
  InProcessAfter(options_.delay_s, leader_name, leading,
                 [this, holder, leader_name, asked, sequence = *sequence, session = node.session,
                  able = Reaches(node)] {
                   Node& leader = NodeOf(leader_name);
                   if (!leader.leads) return;
                   leader.senders[holder].OnAcknowledged(sequence);
                   if (sequence > 0)
                     leader.lending->holders().OnAcknowledged(holder, session, able, asked);
                 });
}

void BlocksCluster::RequestHeartbeat(Node& leader, const std::string& machine) {
  const auto& placements = leader.job_table.PlacementsOn(machine);
  const bool due = std::any_of(placements.begin(), placements.end(), [&](const auto& placement) {
    return fleet::IsStartDue(*leader.registry, machine, placement.first, placement.second);
  });
  if (due) workers_.RequestHeartbeat(machine);
}

void BlocksCluster::DeliverHeartbeat(const model::Heartbeat& heartbeat) {
  const std::string to = leader_;
  const Node& node = NodeOf(to);
  if (!node.process->running() || node.process->frozen() || !node.leads) return;
  InProcessAfter(options_.delay_s, to, node.process->number(),
                 [this, to, heartbeat, sent = now()] { AnswerHeartbeat(to, heartbeat, sent); });
}

void BlocksCluster::AnswerHeartbeat(const std::string& name, const model::Heartbeat& heartbeat,
                                    double sent) {
  Node& leader = NodeOf(name);
  // As LeaderElection::MayAct has it: one that may have been followed answers nobody.
  if (!leader.leads || name != leader_ || now() - sent > kHeartbeatTimeoutS) return;
  leader.registry->OnHeartbeat(heartbeat, now(), false);
  fleet::Machine* machine = leader.registry->Find(heartbeat.machine);
  std::vector<model::WorkerCommand> commands;
  if (leader.revision >= leader.token.value()) {
    commands = fleet::Reconcile(*leader.registry, *machine, leader.job_table, false);
  }
  leader.registry->OnResponseSent(heartbeat, commands, now());
  At(options_.delay_s, [this, heartbeat, token = leader.token, commands, sent] {
    workers_.OnAnswer(heartbeat, token, commands, sent);
  });
}

}  // namespace hallpier::testing_support
