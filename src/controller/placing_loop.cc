#include "controller/placing_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/round_interval.h"
#include "jobs/transaction_builder.h"

namespace hallpier::controller {
namespace {

// A copy that has not been confirmed for so many report periods, and a call's time limit, is no
// longer current: a watch is asked anew at least once in each.
constexpr double kCurrentReports = 2;
// A round looks at the records at least this often in a report period, whatever comes.
constexpr double kLooks = 2;

fleet::WorkerRegistry::Options MirrorOptions(const config::Settings& settings) {
  fleet::WorkerRegistry::Options options;
  options.heartbeat_interval_s = settings.heartbeat_interval_s;
  options.lease_s = settings.lease_s;
  options.list_lag_s = settings.list_lag_s;
  return options;
}

}  // namespace

PlacingLoop::PlacingLoop(async::Scope& scope, Dependencies dependencies)
    : scope_(scope),
      deps_(std::move(dependencies)),
      mirror_(MirrorOptions(*deps_.settings)),
      committer_(*deps_.settings, *deps_.client, *deps_.cache, *deps_.formats,
                 {.gives_way = nullptr,
                  .describe = nullptr,
                  .on_written = nullptr,
                  .on_placed = nullptr,
                  .on_left = [this] { work_waits_ = true; }}) {
  context_.settings = deps_.settings;
  context_.operators = deps_.operators;
}

void PlacingLoop::OnChange() {
  work_waits_ = true;
  work_.Notify();
}

bool PlacingLoop::Able() const {
  const double current_s =
      kCurrentReports * deps_.settings->heartbeat_interval_s + deps_.client->timeout_s();
  return deps_.cache->loaded() && !deps_.client->down() &&
         Now() - deps_.cache->current_as_of() <= current_s;
}

std::optional<wire::BlockAcknowledgement> PlacingLoop::OnView(const wire::BlockView& view) {
  const std::optional<uint64_t> sequence = mirror_.Take(view, Now());
  if (!sequence) return std::nullopt;
  if (!view.changed.empty() || !view.failures.empty()) OnChange();
  return wire::BlockAcknowledgement{*sequence, deps_.session(), Able()};
}

std::optional<size_t> PlacingLoop::Holding() const {
  // After a pause the copy must be complete anew: tasks may have been cancelled meanwhile.
  const bool paused = deps_.cache->current_as_of() < scope_.loop().resumed_at();
  if (deps_.leading() || paused || deps_.formats->change_pending()) return std::nullopt;
  const blocks::CopyState copy = {deps_.cache->revision(), deps_.cache->fencing_token()};
  return deps_.records->Holding(deps_.settings->node, deps_.session(), copy);
}

async::Task<> PlacingLoop::Run() {
  while (!scope_.cancelled()) {
    async::Sleep rest(scope_, RoundGapS(*deps_.settings, *deps_.operators, round_took_));
    co_await rest;
    if (!work_waits_) {
      auto wait = work_.Await(scope_, deps_.settings->heartbeat_interval_s / kLooks);
      co_await wait;
    }
    if (scope_.cancelled()) break;
    work_waits_ = false;
    co_await Round();
  }
}

plan::RoundResult PlacingLoop::Plan(size_t holder) {
  const double now = Now();
  const double time_of_day = deps_.time_of_day();
  context_.machine_types = *deps_.machine_types;
  const double widen_s = deps_.operators->blocks.widen_ratio * deps_.settings->heartbeat_interval_s;
  const plan::Scope scope =
      deps_.records->HolderScope(holder, widen_s, time_of_day, *deps_.settings, *deps_.job_table);
  plan::RoundResult plan =
      plan::PlanRound(context_, *deps_.job_table, mirror_.registry(), now, time_of_day, &scope);
  round_took_ = Now() - now;
  return plan;
}

async::Task<> PlacingLoop::Round() {
  // Even if the block has passed on since: whether they counted decides what the records say.
  bool settled = co_await committer_.ResolveUnanswered(scope_, deps_.operators->round_s);
  if (scope_.cancelled()) co_return;
  if (!settled) {
    work_waits_ = true;
    co_return;
  }
  const std::optional<size_t> holder = Holding();
  if (!holder) co_return;
  plan::RoundResult plan = Plan(*holder);
  for (const std::string& job : plan.retried_jobs)
    mirror_.registry().failures().OnRetry(job, Now());
  if (plan.places.empty()) co_return;
  spdlog::info("round of block {}: {} waiting, {} placed, {:.1f} ms", *holder, plan.waiting,
               plan.places.size(), round_took_ * 1000);
  jobs::TransactionLimits limits =
      committer_.Limits(deps_.records->PlacementPreconditions(*holder), deps_.time_of_day());
  limits.placements_only = true;
  limits.others_place = true;
  auto version = [this](const std::string& key) { return deps_.cache->Version(key); };
  auto transactions = jobs::BuildTransactions(*deps_.job_table, plan.places, limits, version);
  co_await committer_.Commit(scope_, std::move(transactions), deps_.operators->round_s);
}

}  // namespace hallpier::controller
