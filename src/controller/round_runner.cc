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

// Background writes are sent at least this often, as a part of a heartbeat interval (ReplanPolicy).
constexpr double kBackgroundInterval = 1.0 / 4;
constexpr double kMsPerS = 1000;

// Tasks that come back from one machine for one reason make one log line.
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
      replan_policy_(kBackgroundInterval * services.settings->heartbeat_interval_s) {}

TransactionCommitter::Hooks RoundRunner::CommitHooks() {
  TransactionCommitter::Hooks hooks;
  hooks.replan_instead = [this](const jobs::Transaction& transaction) {
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
  parts_.trigger.Request();  // for what the former leader left undone
}

async::Task<> RoundRunner::Run(async::Scope& term) {
  while (!term.cancelled()) {
    co_await AwaitDue(term);
    if (term.cancelled()) break;
    parts_.trigger.Clear();
    co_await Round(term);
  }
}

async::Task<> RoundRunner::AwaitDue(async::Scope& term) {
  const double gap_s = RoundGapS(*services_.settings, *services_.operators, planning_s_);
  async::Sleep gap(term, gap_s);
  co_await gap;
  if (!parts_.trigger.requested()) {
    auto wait = parts_.trigger.Await(term, std::max(0.0, services_.operators->round_s - gap_s));
    co_await wait;
  }
  // Looked at last: the process may have been paused in any of the waits.
  while (!term.cancelled() && !parts_.commands.CopyIsCurrent()) {
    auto wait = services_.cache->changed().Await(term, services_.settings->heartbeat_interval_s);
    co_await wait;
  }
}

async::Task<bool> RoundRunner::Prepare(async::Scope& term) {
  if (fleet::NeedsHigherToken(parts_.registry, *services_.job_table)) {
    const bool raised = co_await services_.election->RaiseToken();
    if (raised) parts_.registry.SetToken(services_.election->token());
  }
  const bool resolved = co_await committer_.ResolveUnanswered(term, services_.operators->round_s);
  if (!resolved) parts_.trigger.Request();
  co_return resolved;
}

async::Task<> RoundRunner::Round(async::Scope& term) {
  const bool prepared = co_await Prepare(term);
  if (!prepared) co_return;
  const double began = term.loop().Now();
  replan_policy_.OnRoundStarted();
  parts_.registry.UpdateObservations(*services_.job_table);
  std::vector<jobs::TaskTransition> transitions =
      fleet::CollectTaskTransitions(parts_.registry, *services_.job_table, began);
  LogRequeued(transitions);
  std::optional<plan::PlacementScope> scope;
  if (parts_.blocks != nullptr && parts_.blocks->divided()) scope = parts_.blocks->WholeScope();
  const plan::PlacementScope* plan_scope = scope ? &*scope : nullptr;
  plan::RoundResult plan = Plan(began, plan_scope);
  parts_.scaling.SetDemands(std::move(plan.demands));
  Preempt(plan.preemptions);
  PlacementDecision decision = co_await DecidePlacements(term, plan, plan_scope);
  if (term.cancelled()) co_return;
  for (const std::string& job : plan.retried_jobs) {
    spdlog::info("retry: one task of a job that fails on every machine job={}", job);
    parts_.registry.failure_tracker().OnRetry(job, began);
  }
  LogRound(plan, decision.placements);
  // One write for all that a group of tasks has to say: the store takes few of them.
  std::move(decision.placements.begin(), decision.placements.end(),
            std::back_inserter(transitions));
  co_await Commit(term, std::move(transitions), std::move(decision.preconditions));
}

plan::RoundResult RoundRunner::Plan(double began, const plan::PlacementScope* scope) {
  plan::RoundResult plan = plan::PlanRound(parts_.context, *services_.job_table, parts_.registry,
                                           began, services_.time_of_day(), scope);
  planning_s_ = services_.scope->loop().Now() - began;
  return plan;
}

void RoundRunner::Preempt(const std::vector<plan::Preemption>& preemptions) {
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
  decision.preconditions = {store::TokenPrecondition(services_.election->token())};
  if (parts_.blocks == nullptr) {
    decision.placements = std::move(plan.placements);
    co_return decision;
  }
  co_await parts_.blocks->ReviewAfterRound(plan, scope);
  if (term.cancelled()) co_return decision;
  if (scope == nullptr && parts_.blocks->MayPlaceOnAll()) {
    decision.placements = std::move(plan.placements);
    co_return decision;
  }
  const std::optional<size_t> holder = parts_.blocks->HolderIndex(services_.session());
  if (!holder) {
    // Until the copy has passed what was just written, or while this node holds no block.
    parts_.trigger.Request();
    co_return decision;
  }
  co_return PlaceOnOwnBlock(*holder);
}

RoundRunner::PlacementDecision RoundRunner::PlaceOnOwnBlock(size_t holder) {
  const plan::PlacementScope own = parts_.blocks->HolderScope(holder);
  const double began = services_.scope->loop().Now();
  plan::RoundResult plan = plan::PlanRound(parts_.context, *services_.job_table, parts_.registry,
                                           began, services_.time_of_day(), &own);
  planning_s_ += services_.scope->loop().Now() - began;
  return {std::move(plan.placements), services_.block_records->PlacementPreconditions(holder)};
}

async::Task<> RoundRunner::Commit(async::Scope& term, std::vector<jobs::TaskTransition> transitions,
                                  std::vector<model::Precondition> preconditions) {
  if (services_.formats->change_pending()) {
    parts_.trigger.Request();
    co_return;
  }
  jobs::TransactionLimits limits = committer_.Limits(std::move(preconditions));
  limits.concurrent_placement = parts_.blocks != nullptr && parts_.blocks->divided();
  auto version = [this](const std::string& key) { return services_.cache->Version(key); };
  auto transactions = jobs::BuildTransactions(*services_.job_table, transitions, limits, version);
  LogTransactions(transactions);
  co_await committer_.Commit(term, std::move(transactions), services_.operators->round_s);
}

void RoundRunner::LogRound(const plan::RoundResult& plan,
                           const std::vector<jobs::TaskTransition>& placements) const {
  if (!placements.empty() || !plan.preemptions.empty()) {
    spdlog::info("round: waiting={} placed={} preempted={} plan_ms={:.1f}", plan.waiting_tasks,
                 placements.size(), plan.preemptions.size(), planning_s_ * kMsPerS);
  }
  for (const jobs::TaskTransition& placement : placements) {
    spdlog::debug("place: task={} attempt={} machine={}", model::TaskName(placement.task),
                  placement.attempt, placement.machine);
  }
}

}  // namespace hallpier::controller
