#include "controller/block_placement_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/round_interval.h"
#include "jobs/transaction_builder.h"

namespace hallpier::controller {
namespace {

// The watch cache is no longer current if it has not been confirmed for this many heartbeat
// intervals plus the timeout of one call: a watch is renewed at least once per interval.
constexpr double kMaxCacheAgeHeartbeats = 2;
// The minimum number of rounds per heartbeat interval, with or without requests.
constexpr double kMinRoundsPerHeartbeat = 2;
constexpr double kMsPerS = 1000;

fleet::WorkerRegistry::Options RegistryOptions(const config::Settings& settings) {
  fleet::WorkerRegistry::Options options;
  options.heartbeat_interval_s = settings.heartbeat_interval_s;
  options.lease_s = settings.lease_s;
  options.list_lag_s = settings.list_lag_s;
  return options;
}

TransactionCommitter::Hooks CommitHooks(RoundTrigger& trigger) {
  TransactionCommitter::Hooks hooks;
  hooks.on_not_written = [&trigger] { trigger.Request(); };
  return hooks;
}

}  // namespace

BlockPlacementLoop::BlockPlacementLoop(const NodeServices& services)
    : services_(services),
      machine_replica_(RegistryOptions(*services.settings)),
      committer_(services, CommitHooks(trigger_)) {
  context_.settings = services.settings;
  context_.operator_options = services.operator_options;
}

bool BlockPlacementLoop::CanPlace() const {
  const double max_cache_age_s = kMaxCacheAgeHeartbeats * services_.settings->heartbeat_interval_s +
                                 services_.client->timeout_s();
  return services_.cache->loaded() && !services_.client->down() &&
         Now() - services_.cache->current_as_of() <= max_cache_age_s;
}

std::optional<wire::BlockAcknowledgement> BlockPlacementLoop::OnView(const wire::BlockView& view) {
  const std::optional<uint64_t> sequence = machine_replica_.Apply(view, Now());
  if (!sequence) return std::nullopt;
  if (!view.changed.empty() || !view.failures.empty()) RequestRound();
  return wire::BlockAcknowledgement{*sequence, services_.membership_session(), CanPlace()};
}

std::optional<size_t> BlockPlacementLoop::OwnerIndex() const {
  // A leader places in its own rounds (RoundRunner). After a pause of the process the watch cache
  // must first catch up: tasks may have been cancelled in the meantime.
  const bool paused = services_.cache->current_as_of() < services_.scope->loop().resumed_at();
  if (services_.election->leading() || paused || services_.formats->change_pending()) {
    return std::nullopt;
  }
  const blocks::CacheState cache_state = {services_.cache->revision(),
                                          services_.cache->fencing_token()};
  return services_.block_records->ActiveOwnerIndex(services_.settings->node,
                                                   services_.membership_session(), cache_state);
}

async::Task<> BlockPlacementLoop::Run() {
  async::Scope& scope = *services_.scope;
  while (!scope.cancelled()) {
    async::Sleep gap(scope,
                     RoundGapS(*services_.settings, *services_.operator_options, last_planning_s_));
    co_await gap;
    if (!trigger_.requested()) {
      auto wait =
          trigger_.Await(scope, services_.settings->heartbeat_interval_s / kMinRoundsPerHeartbeat);
      co_await wait;
    }
    if (scope.cancelled()) break;
    trigger_.Clear();
    co_await RunRound();
  }
}

plan::RoundResult BlockPlacementLoop::Plan(size_t owner) {
  const double now = Now();
  const double time_of_day = services_.time_of_day();
  context_.machine_types = *services_.machine_types;
  const double widening_interval_s =
      services_.operator_options->blocks.widen_ratio * services_.settings->heartbeat_interval_s;
  const plan::PlacementScope scope = services_.block_records->OwnerScope(
      owner, widening_interval_s, time_of_day, *services_.settings, *services_.job_table);
  plan::RoundResult plan = plan::PlanRound(context_, *services_.job_table,
                                           machine_replica_.registry(), now, time_of_day, &scope);
  last_planning_s_ = Now() - now;
  return plan;
}

async::Task<> BlockPlacementLoop::RunRound() {
  async::Scope& scope = *services_.scope;
  const double budget_s = services_.operator_options->round_s;
  // Unanswered transactions are resolved even if another node owns the block now: the records show
  // whether their placements were committed.
  const bool resolved = co_await committer_.ResolveUnanswered(scope, budget_s);
  if (scope.cancelled()) co_return;
  if (!resolved) {
    RequestRound();
    co_return;
  }
  const std::optional<size_t> owner = OwnerIndex();
  if (!owner) co_return;
  plan::RoundResult plan = Plan(*owner);
  for (const std::string& job : plan.retried_jobs) {
    machine_replica_.registry().failure_tracker().OnRetry(job, Now());
  }
  if (plan.placements.empty()) co_return;
  spdlog::info("round: block={} waiting={} placed={} plan_ms={:.1f}", *owner, plan.waiting_tasks,
               plan.placements.size(), last_planning_s_ * kMsPerS);
  jobs::TransactionLimits limits =
      committer_.Limits(services_.block_records->PlacementPreconditions(*owner));
  limits.placements_only = true;
  limits.concurrent_placement = true;
  auto version = [this](const std::string& key) { return services_.cache->Version(key); };
  auto transactions =
      jobs::BuildTransactions(*services_.job_table, plan.placements, limits, version);
  co_await committer_.Commit(scope, std::move(transactions), budget_s);
}

}  // namespace hallpier::controller
