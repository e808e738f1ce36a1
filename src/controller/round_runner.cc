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

RoundRunner::RoundRunner(const NodeServices& services, Parts parts)
    : services_(services),
      parts_(parts),
      committer_(services, CommitHooks()),
      replan_policy_(kBackgroundIntervalRatio * services.settings->heartbeat_interval_s) {}

TransactionCommitter::Hooks RoundRunner::CommitHooks() {
  TransactionCommitter::Hooks hooks;
  hooks.should_replan = [this](const jobs::Transaction& transaction) {
    return replan_policy_.ShouldReplan(transaction, parts_.trigger.requested(),
                                       services_.scope->loop().Now());
  };
  hooks.describe = [this](const jobs::Transaction& transaction) {
    return DescribeFinishedJobs(transaction, *services_.job_table, services_.time_of_day());
  };
  hooks.on_committed = [this](const jobs::Transaction& transaction) {
    RecordFinishedJobs(transaction.writes, *services_.job_table);
  };
  hooks.on_placed = [this](const std::string& machine) { parts_.dispatcher.Send(machine); };
  hooks.on_not_written = [this] { parts_.trigger.Request(); };
  return hooks;
}

void RoundRunner::BeginTerm() {
  replan_policy_.OnRoundStarted();
  committer_.Reset();
  parts_.trigger.Request();  // for the unfinished work of the previous leader
}

async::Task<> RoundRunner::Run(async::Scope& term) {
  while (!term.cancelled()) {
    co_await AwaitNextRound(term);
    if (term.cancelled()) break;
    parts_.trigger.Clear();
    co_await RunRound(term);
  }
}

async::Task<> RoundRunner::AwaitNextRound(async::Scope& term) {
  const double gap_s =
      RoundGapS(*services_.settings, *services_.operator_options, last_planning_s_);
  async::Sleep gap(term, gap_s);
  co_await gap;
  if (!parts_.trigger.requested()) {
    auto wait =
        parts_.trigger.Await(term, std::max(0.0, services_.operator_options->round_s - gap_s));
    co_await wait;
  }
  // Checked last: the process may have been paused during any of the waits above.
  while (!term.cancelled() && !parts_.commands.CacheIsCurrent()) {
    auto wait = services_.cache->changed().Await(term, services_.settings->heartbeat_interval_s);
    co_await wait;
  }
}

async::Task<bool> RoundRunner::PrepareRound(async::Scope& term) {
  if (fleet::NeedsHigherToken(parts_.registry, *services_.job_table)) {
    const bool raised = co_await services_.election->RaiseToken();
    if (raised) parts_.registry.SetToken(services_.election->token());
  }
  const bool resolved =
      co_await committer_.ResolveUnanswered(term, services_.operator_options->round_s);
  if (!resolved) parts_.trigger.Request();
  co_return resolved;
}

async::Task<> RoundRunner::RunRound(async::Scope& term) {
  const bool prepared = co_await PrepareRound(term);
  if (!prepared) co_return;
  const double started_at = term.loop().Now();
  replan_policy_.OnRoundStarted();
  parts_.registry.UpdateObservations(*services_.job_table);
  std::vector<jobs::TaskTransition> transitions =
      fleet::CollectTaskTransitions(parts_.registry, *services_.job_table, started_at);
  LogRequeued(transitions);
  std::optional<plan::PlacementScope> scope;
  if (parts_.blocks != nullptr && parts_.blocks->has_owners())
    scope = parts_.blocks->AllMachinesScope();
  const plan::PlacementScope* plan_scope = scope ? &*scope : nullptr;
  plan::RoundResult plan = Plan(started_at, plan_scope);
  parts_.scaling.SetDemands(std::move(plan.demands));
  RequestPreemptions(plan.preemptions);
  PlacementDecision decision = co_await DecidePlacements(term, plan, plan_scope);
  if (term.cancelled()) co_return;
  for (const std::string& job : plan.retried_jobs) {
    spdlog::info("retry: one task of a job that fails on every machine job={}", job);
    parts_.registry.failure_tracker().OnRetry(job, started_at);
  }
  LogRound(plan, decision.placements);
  // All transitions of a task group are combined into one write: the state service's write rate is
  // limited.
  std::move(decision.placements.begin(), decision.placements.end(),
            std::back_inserter(transitions));
  co_await Commit(term, std::move(transitions), std::move(decision.preconditions));
}

plan::RoundResult RoundRunner::Plan(double started_at, const plan::PlacementScope* scope) {
  plan::RoundResult plan = plan::PlanRound(parts_.context, *services_.job_table, parts_.registry,
                                           started_at, services_.time_of_day(), scope);
  last_planning_s_ = services_.scope->loop().Now() - started_at;
  return plan;
}

void RoundRunner::RequestPreemptions(const std::vector<plan::Preemption>& preemptions) {
  for (const plan::Preemption& preemption : preemptions) {
    parts_.registry.stop_requests().Add(preemption.task, preemption.attempt, preemption.grace_s);
    spdlog::debug("preempt: task={} attempt={} machine={} reason={}",
                  model::TaskName(preemption.task), preemption.attempt, preemption.machine,
                  preemption.for_job.empty() ? "spot notice" : "for job " + preemption.for_job);
    parts_.dispatcher.Send(preemption.machine);
  }
}

async::Task<RoundRunner::PlacementDecision> RoundRunner::DecidePlacements(
    async::Scope& term, plan::RoundResult& plan, const plan::PlacementScope* scope) {
  PlacementDecision decision;
  decision.preconditions = {store::FencingTokenPrecondition(services_.election->token())};
  if (parts_.blocks == nullptr) {
    decision.placements = std::move(plan.placements);
    co_return decision;
  }
  co_await parts_.blocks->ReviewAfterRound(plan, scope);
  if (term.cancelled()) co_return decision;
  if (scope == nullptr && parts_.blocks->MayPlaceOnAllMachines()) {
    decision.placements = std::move(plan.placements);
    co_return decision;
  }
  const std::optional<size_t> owner = parts_.blocks->OwnerIndex(services_.session());
  if (!owner) {
    // The watch cache has not passed the latest writes yet, or this node holds no block.
    parts_.trigger.Request();
    co_return decision;
  }
  co_return PlaceOnOwnBlock(*owner);
}

RoundRunner::PlacementDecision RoundRunner::PlaceOnOwnBlock(size_t owner) {
  const plan::PlacementScope own_scope = parts_.blocks->OwnerScope(owner);
  const double started_at = services_.scope->loop().Now();
  plan::RoundResult plan = plan::PlanRound(parts_.context, *services_.job_table, parts_.registry,
                                           started_at, services_.time_of_day(), &own_scope);
  last_planning_s_ += services_.scope->loop().Now() - started_at;
  return {std::move(plan.placements), services_.block_records->PlacementPreconditions(owner)};
}

async::Task<> RoundRunner::Commit(async::Scope& term, std::vector<jobs::TaskTransition> transitions,
                                  std::vector<model::Precondition> preconditions) {
  if (services_.formats->change_pending()) {
    parts_.trigger.Request();
    co_return;
  }
  jobs::TransactionLimits limits = committer_.Limits(std::move(preconditions));
  limits.concurrent_placement = parts_.blocks != nullptr && parts_.blocks->has_owners();
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
