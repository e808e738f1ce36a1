// Rounds of a node of BlocksCluster: as the leader, as a block owner, or as neither.
#include <algorithm>

#include "blocks/block_view_builder.h"
#include "fleet/reconciliation.h"
#include "fleet/task_outcomes.h"
#include "plan/round.h"
#include "simulation/blocks_cluster.h"
#include "simulation/blocks_cluster_constants.h"

namespace hallpier::testing_support {
namespace {

// A node that is unavailable for longer counts as failed.
constexpr double kFailureDeclarationDelayS = 2;
constexpr double kLeaderTtlS = 1;
// The leader does not answer a heartbeat older than this.
constexpr double kHeartbeatTimeoutS = 1;
constexpr blocks::WriteLimits kWriteLimits = {8, 8192};

}  // namespace

void BlocksCluster::Tick(const std::string& name, uint64_t generation) {
  SimulatedProcess& self = processes_.at(name);
  self.RunOrDefer(generation, [this, name] {
    Node& node = NodeOf(name);
    ApplyChanges(node);
    ElectIfNeeded(node);
    if (!node.busy) Round(node);
  });
  if (self.generation() != generation) return;
  At(kTickIntervalS, [this, name, generation] {
    if (processes_.at(name).generation() == generation) Tick(name, generation);
  });
}

void BlocksCluster::ElectIfNeeded(Node& node) {
  if (!ReachesState(node) || node.applied_changes < store_.changes().size()) return;
  if (!leader_.empty()) {
    const Node& leader = NodeOf(leader_);
    const bool responsive = leader.process->running() && !leader.process->frozen();
    if (responsive && !leader.state_cut && leader.is_leader) {
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
  node.is_leader = true;
  node.uses_blocks = options_.max_owners >= 2 && new_leaders_use_blocks_;
  node.token = model::FencingToken(store_.revision());
  node.unanswered.clear();
  ApplyRecord(node, store::FencingTokenKey(), record, store_.revision());
  node.registry = std::make_unique<fleet::WorkerRegistry>(RegistryOptions());
  node.commanded_machines.clear();
  node.registry->BeginTerm(node.token, now(), now() + settings_.lease_s / 2);
  node.block_planner = std::make_unique<blocks::BlockPlanner>(settings_, operator_options_.blocks);
  for (const std::string& other : names_) ReportMember(node, other);
  node.block_planner->BeginTerm(node.token, node.records, now());
  node.view_builders.clear();
}

void BlocksCluster::ReportMember(Node& leader, const std::string& name) {
  const Node& node = NodeOf(name);
  const bool responsive = node.process->running() && !node.process->frozen();
  if (!responsive && now() - node.unavailable_since > kFailureDeclarationDelayS)
    failed_sessions_.insert({name, node.session});
  const bool failed = failed_sessions_.contains({name, node.session});
  leader.block_planner->eligibility().OnMember(name,
                                               failed ? std::nullopt : std::optional(node.session));
}

void BlocksCluster::Rejoin(Node& node) {
  if (failed_sessions_.contains({node.name, node.session})) ++node.session;
}

void BlocksCluster::Round(Node& node) {
  if (!node.unanswered.empty()) {
    node.queue = std::exchange(node.unanswered, {});
    SendNext(node);
  } else if (node.is_leader) {
    LeaderRound(node);
  } else {
    OwnerRound(node);
  }
}

void BlocksCluster::OwnerRound(Node& node) {
  if (ReachesState(node)) Rejoin(node);
  // A node that was frozen or partitioned plans with an outdated watch cache. The preconditions of
  // its transaction must prevent wrong placements.
  const auto owner = node.records.ActiveOwnerIndex(node.name, node.session, CacheStateOf(node));
  if (!owner) return;
  const plan::PlacementScope scope =
      node.records.OwnerScope(*owner, WidenS(), now(), settings_, node.job_table);
  const plan::RoundResult plan =
      plan::PlanRound(node.context, node.job_table, node.replica->registry(), now(), now(), &scope);
  Send(node, plan.placements, node.records.PlacementPreconditions(*owner), true);
}

void BlocksCluster::LeaderRound(Node& node) {
  const bool behind = node.applied_changes < store_.changes().size();
  if (node.revision < node.token.value() && behind) return;
  std::optional<plan::PlacementScope> scope;
  if (node.uses_blocks && node.records.block_assignment().has_owners()) {
    scope = node.records.AllMachinesScope(WidenS(), now());
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
  if (node.uses_blocks) {
    if (ReviewBlocks(node, plan, scope)) return;
    SendViews(node);
    own = PlanOwnPlacements(node, scope.has_value());
  } else {
    own.places = std::move(plan.placements);
  }
  transitions.insert(transitions.end(), own.places.begin(), own.places.end());
  Send(node, transitions, own.preconditions, false);
  for (const auto& [name, machine] : node.registry->machines()) SendDueStarts(node, name);
}

BlocksCluster::OwnPlacements BlocksCluster::PlanOwnPlacements(Node& node, bool has_owners) {
  OwnPlacements own{.places = {}, .preconditions = {store::FencingTokenPrecondition(node.token)}};
  const auto owner = node.records.ActiveOwnerIndex(node.name, node.session, CacheStateOf(node));
  const bool no_owners = !has_owners && !node.records.block_assignment().has_owners();
  if (no_owners && node.revision >= node.records.newest_revision()) {
    own.places =
        plan::PlanRound(node.context, node.job_table, *node.registry, now(), now()).placements;
  } else if (owner) {
    const plan::PlacementScope scope =
        node.records.OwnerScope(*owner, WidenS(), now(), settings_, node.job_table);
    own.places = plan::PlanRound(node.context, node.job_table, *node.registry, now(), now(), &scope)
                     .placements;
    own.preconditions = node.records.PlacementPreconditions(*owner);
  }
  return own;
}

bool BlocksCluster::ReviewBlocks(Node& node, const plan::RoundResult& plan,
                                 const std::optional<plan::PlacementScope>& scope) {
  for (const std::string& other : names_) ReportMember(node, other);
  auto change =
      node.block_planner->PlanAssignmentChange(node.records, CacheStateOf(node), true, now());
  if (!change && scope) {
    change = node.block_planner->PlanAllocationChange(node.records, CacheStateOf(node),
                                                      node.job_table, *node.registry, node.context,
                                                      plan, *scope, kWriteLimits);
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
    const auto owner = leader.records.block_assignment().IndexOf(other);
    for (const auto& view : leader.view_builders[other].BuildViews(
             leader.token, leader.records.block_assignment(), owner, machines, {})) {
      InProcessAfter(options_.delay_s, other, node.process->generation(),
                     [this, other, view, leader_name = leader.name,
                      leader_generation = leader.process->generation(), sent = now()] {
                       ApplyView(other, view, leader_name, leader_generation, sent);
                     });
    }
  }
}

void BlocksCluster::ApplyView(const std::string& owner, const wire::BlockView& view,
                              const std::string& leader_name, uint64_t leader_generation,
                              double sent) {
  const Node& node = NodeOf(owner);
  const auto sequence = node.replica->Apply(view, now());
  if (!sequence) return;
  InProcessAfter(options_.delay_s, leader_name, leader_generation,
                 [this, owner, leader_name, sent, sequence = *sequence, session = node.session,
                  reaches_state = ReachesState(node)] {
                   Node& leader = NodeOf(leader_name);
                   if (!leader.is_leader) return;
                   leader.view_builders[owner].OnAcknowledged(sequence);
                   if (sequence > 0)
                     leader.block_planner->eligibility().OnAcknowledged(owner, session,
                                                                        reaches_state, sent);
                 });
}

void BlocksCluster::SendDueStarts(Node& leader, const std::string& machine) {
  const auto& placements = leader.job_table.PlacementsOn(machine);
  const bool due = std::any_of(placements.begin(), placements.end(), [&](const auto& placement) {
    return fleet::IsStartDue(*leader.registry, machine, placement.first, placement.second);
  });
  if (!due) return;
  if (options_.command_copy_rate > 0) {
    SendDirectCommand(leader, machine);
  } else {
    workers_.RequestHeartbeat(machine);
  }
}

void BlocksCluster::SendDirectCommand(Node& leader, const std::string& machine) {
  fleet::Machine* worker = leader.registry->Find(machine);
  if (leader.name != leader_ || worker->agent.unreachable) return;
  if (!leader.commanded_machines.insert(machine).second) return;
  SimulatedWorkers::DirectCommand command;
  command.machine = machine;
  command.commands = fleet::Reconcile(*leader.registry, *worker, leader.job_table, true);
  command.token = leader.registry->CommandToken(*worker);
  command.agent_epoch = worker->agent.epoch;
  At(options_.delay_s,
     [this, command, name = leader.name, generation = leader.process->generation()] {
       const auto report = workers_.OnDirectCommand(command);
       const double response_delay_s = report ? options_.delay_s : kHeartbeatTimeoutS;
       InProcessAfter(response_delay_s, name, generation, [this, command, name, report] {
         OnDirectCommandFinished(name, command, report);
       });
       if (!report || Uniform(0, 1) >= options_.command_copy_rate) return;
       At(Uniform(options_.min_copy_delay_s, options_.max_copy_delay_s),
          [this, command] { workers_.OnDirectCommand(command); });
     });
}

void BlocksCluster::OnDirectCommandFinished(const std::string& name,
                                            const SimulatedWorkers::DirectCommand& command,
                                            const std::optional<model::Heartbeat>& report) {
  Node& leader = NodeOf(name);
  if (!leader.is_leader || leader.registry->first_token_of_term() > command.token) return;
  leader.commanded_machines.erase(command.machine);
  if (report) leader.registry->OnHeartbeat(*report, now(), true);
  fleet::OnDirectCommandFinished(*leader.registry, command.machine, command.commands, command.token,
                                 report.has_value());
}

void BlocksCluster::DeliverHeartbeat(const model::Heartbeat& heartbeat) {
  const std::string to = leader_;
  const Node& node = NodeOf(to);
  if (!node.process->running() || node.process->frozen() || !node.is_leader) return;
  InProcessAfter(options_.delay_s, to, node.process->generation(),
                 [this, to, heartbeat, sent = now()] { AnswerHeartbeat(to, heartbeat, sent); });
}

void BlocksCluster::AnswerHeartbeat(const std::string& name, const model::Heartbeat& heartbeat,
                                    double sent) {
  Node& leader = NodeOf(name);
  // As in LeaderElection::MayAct: a leader that may have a successor answers no heartbeats.
  if (!leader.is_leader || name != leader_ || now() - sent > kHeartbeatTimeoutS) return;
  leader.registry->OnHeartbeat(heartbeat, now(), false);
  fleet::Machine* machine = leader.registry->Find(heartbeat.machine);
  std::vector<model::WorkerCommand> commands;
  if (leader.revision >= leader.token.value()) {
    commands = fleet::Reconcile(*leader.registry, *machine, leader.job_table, false);
  }
  leader.registry->OnResponseSent(heartbeat, commands, now());
  const model::FencingToken token = leader.registry->CommandToken(*machine);
  At(options_.delay_s, [this, heartbeat, token, commands, sent] {
    workers_.OnAnswer(heartbeat, token, commands, sent);
  });
}

}  // namespace hallpier::testing_support
