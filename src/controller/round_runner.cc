#include "controller/round_runner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <tuple>

#include "controller/finished_jobs.h"
#include "controller/round_interval.h"
#include "fleet/reconciliation.h"
#include "fleet/task_outcomes.h"
#include "model/task.h"
#include "store/keys.h"
#include "store/records.h"

namespace hallpier::controller {
namespace {

// Maximum interval between background writes, as a fraction of the heartbeat interval
// (ReplanPolicy).
constexpr double kBackgroundIntervalRatio = 1.0 / 4;
constexpr double kMsPerS = 1000;

// Tasks requeued from one machine for one reason are logged in one line.
struct RequeueGroup {
  std::string machine;
  std::string reason;
  bool operator<(const RequeueGroup& other) const {
    return std::tie(machine, reason) < std::tie(other.machine, other.reason);
  }
};

void LogRequeued(const std::vector<jobs::TaskTransition>& transitions) {
  std::map<RequeueGroup, int> requeued;
  for (const jobs::TaskTransition& transition : transitions) {
    if (transition.kind == jobs::TaskTransition::Kind::kRequeue) {
      ++requeued[{transition.machine, transition.reason}];
    }
  }
  for (const auto& [group, tasks] : requeued) {
    spdlog::info("reconcile: requeued tasks={} machine={} reason={}", tasks, group.machine,
                 group.reason);
  }
}

void LogTransactions(const std::vector<jobs::Transaction>& transactions) {
  std::map<jobs::WritePriority, size_t> writes;
  for (const jobs::Transaction& transaction : transactions) {
    writes[transaction.priority] += transaction.writes.size();
  }
  spdlog::debug("commit: urgent_starts={} job_ends={} starts={} background={} task_ends={}",
                writes[jobs::WritePriority::kUrgentPlacement], writes[jobs::WritePriority::kJobEnd],
                writes[jobs::WritePriority::kPlacement], writes[jobs::WritePriority::kCleanup],
                writes[jobs::WritePriority::kTaskEnd]);
}

}  // namespace

RoundRunner::RoundRunner(const NodeServices& services, Components components)
    : services_(services),
      components_(components),
      committer_(services, CommitHooks()),
      replan_policy_(kBackgroundIntervalRatio * services.settings->heartbeat_interval_s) {}

TransactionCommitter::Hooks RoundRunner::CommitHooks() {
  TransactionCommitter::Hooks hooks;
  hooks.should_replan = [this](const jobs::Transaction& transaction) {
    return replan_policy_.ShouldReplan(transaction, components_.trigger.requested(),
                                       services_.scope->loop().Now());
  };
  hooks.describe = [this](const jobs::Transaction& transaction) {
    return DescribeFinishedJobs(transaction, *services_.job_table, services_.time_of_day());
  };
  hooks.on_committed = [this](const jobs::Transaction& transaction, uint64_t revision) {
    // The fencing token is a precondition of all transactions of a round.
    components_.registry.OnCommitted(revision);
    RecordFinishedJobs(transaction.writes, *services_.job_table);
  };
  hooks.on_placed = [this](const std::string& machine) {
    components_.command_dispatcher.Send(machine);
  };
  hooks.on_not_written = [this] { components_.trigger.Request(); };
  return hooks;
}

void RoundRunner::BeginTerm() {
  replan_policy_.OnRoundStarted();
  committer_.Reset();
  components_.trigger.Request();  // for the unfinished work of the previous leader
}

async::Task<> RoundRunner::Run(async::Scope& term) {
  while (!term.cancelled()) {
    co_await AwaitNextRound(term);
    if (term.cancelled()) break;
    components_.trigger.Clear();
    co_await RunRound(term);
  }
}

async::Task<> RoundRunner::AwaitNextRound(async::Scope& term) {
  const double gap_s =
      RoundGapS(*services_.settings, *services_.operator_options, last_planning_s_);
  async::Sleep gap(term, gap_s);
  co_await gap;
  if (!components_.trigger.requested()) {
    auto wait =
        components_.trigger.Await(term, std::max(0.0, services_.operator_options->round_s - gap_s));
    co_await wait;
  }
  // The cache is checked last: the process may have been paused during any of the waits above.
  while (!term.cancelled() && !components_.command_source.CacheIsCurrent()) {
    auto wait = services_.cache->changed().Await(term, services_.settings->heartbeat_interval_s);
    co_await wait;
  }
}

async::Task<bool> RoundRunner::PrepareRound(async::Scope& term) {
  if (fleet::NeedsHigherToken(components_.registry, *services_.job_table)) {
    const bool raised = co_await services_.election->RaiseToken();
    if (raised) components_.registry.SetToken(services_.election->token());
  }
  const bool resolved =
      co_await committer_.ResolveUnanswered(term, services_.operator_options->round_s);
  if (!resolved) components_.trigger.Request();
  co_return resolved;
}

async::Task<> RoundRunner::RunRound(async::Scope& term) {
  const bool prepared = co_await PrepareRound(term);
  if (!prepared) co_return;
  const double started_at = term.loop().Now();
  replan_policy_.OnRoundStarted();
  components_.registry.UpdateObservations(*services_.job_table);
  std::vector<jobs::TaskTransition> transitions =
      fleet::CollectTaskTransitions(components_.registry, *services_.job_table, started_at);
  LogRequeued(transitions);
  std::optional<plan::PlacementScope> scope;
  if (components_.block_coordinator != nullptr && components_.block_coordinator->has_owners())
    scope = components_.block_coordinator->AllMachinesScope();
  const plan::PlacementScope* plan_scope = scope ? &*scope : nullptr;
  plan::RoundResult plan = Plan(started_at, plan_scope);
  components_.scaling_loop.SetDemands(std::move(plan.demands));
  RequestPreemptions(plan.preemptions);
  PlacementDecision decision = co_await DecidePlacements(term, plan, plan_scope);
  if (term.cancelled()) co_return;
  for (const std::string& job : plan.retried_jobs) {
    spdlog::info("retry: one task of a job that fails on every machine job={}", job);
    components_.registry.failure_tracker().OnRetry(job, started_at);
  }
  LogRound(plan, decision.placements);
  // Placements and other transitions are committed together: all transitions of a task group are
  // combined into one write, since the state service's write rate is limited.
  std::move(decision.placements.begin(), decision.placements.end(),
            std::back_inserter(transitions));
  co_await Commit(term, std::move(transitions), std::move(decision.preconditions));
}

plan::RoundResult RoundRunner::Plan(double started_at, const plan::PlacementScope* scope) {
  plan::RoundResult plan =
      plan::PlanRound(components_.context, *services_.job_table, components_.registry, started_at,
                      services_.time_of_day(), scope);
  last_planning_s_ = services_.scope->loop().Now() - started_at;
  return plan;
}

void RoundRunner::RequestPreemptions(const std::vector<plan::Preemption>& preemptions) {
  for (const plan::Preemption& preemption : preemptions) {
    components_.registry.stop_requests().Add(preemption.task, preemption.attempt,
                                             preemption.grace_s);
    spdlog::debug("preempt: task={} attempt={} machine={} reason={}",
                  model::TaskName(preemption.task), preemption.attempt, preemption.machine,
                  preemption.for_job.empty() ? "spot notice" : "for job " + preemption.for_job);
    components_.command_dispatcher.Send(preemption.machine);
  }
}

async::Task<RoundRunner::PlacementDecision> RoundRunner::DecidePlacements(
    async::Scope& term, plan::RoundResult& plan, const plan::PlacementScope* scope) {
  PlacementDecision decision;
  decision.preconditions = {store::FencingTokenPrecondition(services_.election->token())};
  if (components_.block_coordinator == nullptr) {
    decision.placements = std::move(plan.placements);
    co_return decision;
  }
  co_await components_.block_coordinator->ReviewAfterRound(plan, scope);
  if (term.cancelled()) co_return decision;
  if (scope == nullptr && components_.block_coordinator->MayPlaceOnAllMachines()) {
    decision.placements = std::move(plan.placements);
    co_return decision;
  }
  const std::optional<size_t> owner =
      components_.block_coordinator->OwnerIndex(services_.membership_session());
  if (!owner) {
    // The watch cache does not contain the latest writes yet, or this node owns no block.
    components_.trigger.Request();
    co_return decision;
  }
  co_return PlaceOnOwnBlock(*owner);
}

RoundRunner::PlacementDecision RoundRunner::PlaceOnOwnBlock(size_t owner) {
  const plan::PlacementScope own_scope = components_.block_coordinator->OwnerScope(owner);
  const double started_at = services_.scope->loop().Now();
  plan::RoundResult plan =
      plan::PlanRound(components_.context, *services_.job_table, components_.registry, started_at,
                      services_.time_of_day(), &own_scope);
  last_planning_s_ += services_.scope->loop().Now() - started_at;
  return {std::move(plan.placements), services_.block_records->PlacementPreconditions(owner)};
}

async::Task<> RoundRunner::Commit(async::Scope& term, std::vector<jobs::TaskTransition> transitions,
                                  std::vector<model::Precondition> preconditions) {
  if (services_.formats->change_pending()) {
    components_.trigger.Request();
    co_return;
  }
  jobs::TransactionLimits limits = committer_.Limits(std::move(preconditions));
  limits.concurrent_placement =
      components_.block_coordinator != nullptr && components_.block_coordinator->has_owners();
  auto version = [this](const std::string& key) { return services_.cache->Version(key); };
  auto transactions = jobs::BuildTransactions(*services_.job_table, transitions, limits, version);
  LogTransactions(transactions);
  co_await committer_.Commit(term, std::move(transactions), services_.operator_options->round_s);
}

void RoundRunner::LogRound(const plan::RoundResult& plan,
                           const std::vector<jobs::TaskTransition>& placements) const {
  if (!placements.empty() || !plan.preemptions.empty()) {
    spdlog::info("round: waiting={} placed={} preempted={} plan_ms={:.1f}", plan.waiting_tasks,
                 placements.size(), plan.preemptions.size(), last_planning_s_ * kMsPerS);
  }
  for (const jobs::TaskTransition& placement : placements) {
    spdlog::debug("place: task={} attempt={} machine={}", model::TaskName(placement.task),
                  placement.attempt, placement.machine);
  }
}

}  // namespace hallpier::controller
