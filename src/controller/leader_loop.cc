#include "controller/leader_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>

#include "controller/round_interval.h"
#include "model/job.h"
#include "model/task.h"
#include "wire/worker_codec.h"

namespace hallpier::controller {
namespace {

// A direct command is given up after this part of a report period: the next report is better.
constexpr double kCommandTimeoutRatio = 0.9;
// Connections for direct commands, in use and kept, as a part of this machine's sockets.
constexpr double kCommandSockets = 0.08;
// However much there is to do, one transaction of what nobody waits for comes in each such part of
// a report period.
constexpr double kBackgroundReports = 1.0 / 4;
// Retries of jobs that fail everywhere take at most this part of the state service's writes; each
// takes two of them, its placement and its end.
constexpr double kRetryWriteShare = 0.1;
constexpr double kWritesPerRetry = 2;
// A worker's report lists what its machine holds, which does not grow with the fleet.
constexpr size_t kMaxWorkerBody = size_t{256} * 1024;

}  // namespace

LeaderLoop::LeaderLoop(LeaderDependencies deps)
    : deps_(std::move(deps)),
      registry_({deps_.settings->heartbeat_interval_s, deps_.settings->lease_s,
                 deps_.settings->list_lag_s, deps_.operators->silent_ratio,
                 kRetryWriteShare * deps_.settings->least().write_rps / kWritesPerRetry,
                 CloudLoop::kReturnsPerCall * deps_.settings->cloud_rps}),
      max_sends_(
          std::max<size_t>(1, static_cast<size_t>(kCommandSockets * deps_.settings->max_sockets))),
      workers_(1, kMaxWorkerBody, max_sends_),
      cloud_(deps_, registry_, context_, [this] { OnChange(); }),
      committer_(*deps_.settings, *deps_.client, *deps_.cache, *deps_.formats, CommitHooks()) {
  context_.settings = deps_.settings;
  context_.operators = deps_.operators;
  if (deps_.operators->blocks.enabled) {
    blocks_ = std::make_unique<BlockLeader>(deps_, registry_, context_);
  }
}

TransactionCommitter::Hooks LeaderLoop::CommitHooks() {
  TransactionCommitter::Hooks hooks;
  hooks.gives_way = [this](const jobs::Transaction& transaction) { return GivesWay(transaction); };
  hooks.describe = [this](const jobs::Transaction& transaction) {
    return DescribeEnds(transaction);
  };
  hooks.on_written = [this](const jobs::Transaction& transaction) {
    RecordFinals(transaction.writes);
  };
  hooks.on_placed = [this](const std::string& machine) { SendCommands(*term_, machine); };
  hooks.on_left = [this] { work_waits_ = true; };
  return hooks;
}

void LeaderLoop::Begin(async::Scope& term) {
  term_ = &term;
  registry_.BeginTerm(deps_.election->token(), term.loop().Now(), deps_.election->others_until());
  term_began_ = deps_.election->token().value();
  context_.machine_types = *deps_.machine_types;
  sending_.clear();
  send_again_.clear();
  send_queue_.clear();
  urgent_came_ = false;
  committer_.Reset();
  work_waits_ = true;  // what the former leader left undone
  if (blocks_) blocks_->Begin(term);
  term.Spawn(RoundLoop(term));
  term.Spawn(cloud_.Run(term));
}

void LeaderLoop::OnJobChanged(const std::string& id) {
  if (!deps_.election->leading() || term_ == nullptr) return;
  const jobs::Job* job = deps_.job_table->Find(id);
  if (job != nullptr && job->cancelled) {
    for (const auto& [number, task_group] : job->task_groups()) {
      for (const auto& [index, task] : task_group.open) {
        if (!task.machine.empty()) SendCommands(*term_, task.machine);
      }
    }
  }
  if (job != nullptr && !job->blocked && job->priority <= model::Priority::kUrgent)
    urgent_came_ = true;
  work_waits_ = true;
  work_.Notify();
}

void LeaderLoop::OnTasksChanged(const store::TaskGroupKeyName& key) {
  if (!blocks_ || !deps_.election->leading() || term_ == nullptr) return;
  const jobs::Job* job = deps_.job_table->Find(key.job);
  if (job == nullptr) return;
  const uint32_t parts = job->groups.layout().parts_per_whole;
  const uint32_t first = key.task_group * parts + key.part.value_or(0);
  const uint32_t end = key.part ? first + 1 : first + parts;
  for (auto it = job->task_groups().lower_bound(first);
       it != job->task_groups().end() && it->first < end; ++it) {
    for (const auto& [index, task] : it->second.open) {
      if (!task.machine.empty() &&
          registry_.StartIsDue(task.machine, {key.job, index}, task.attempt)) {
        SendCommands(*term_, task.machine);
      }
    }
  }
}

void LeaderLoop::OnChange() {
  work_waits_ = true;
  work_.Notify();
}

size_t LeaderLoop::ReportingMachines() const {
  const auto& machines = registry_.all();
  return static_cast<size_t>(std::count_if(machines.begin(), machines.end(), [](const auto& entry) {
    return entry.second.has_reported() && !entry.second.returning;
  }));
}

wire::HttpResponse LeaderLoop::OnHeartbeat(const model::Heartbeat& report) {
  if (report.token > registry_.token()) {
    deps_.election->Superseded(report.token);
    return {.status = 421, .body = wire::WriteRedirect("")};
  }
  const double now = term_->loop().Now();
  if (registry_.OnHeartbeat(report, now, false)) {
    work_waits_ = true;
    work_.Notify();
  }
  fleet::Machine* m = registry_.Find(report.machine);
  std::vector<model::WorkerCommand> commands;
  const bool newest = m->agent_epoch == report.agent_epoch && m->sequence == report.sequence;
  if (newest) commands = CommandsFor(*m, false);
  // Counted before the answer goes out: the lease may be renewed from here on.
  registry_.OnAnswered(report, commands, now);
  return {.status = 200, .body = wire::WriteHeartbeatResponse(registry_.token(), commands)};
}

bool LeaderLoop::CaughtUp() const {
  return deps_.cache->revision() >= term_began_ &&
         deps_.cache->current_as_of() >= term_->loop().resumed_at();
}

std::vector<model::WorkerCommand> LeaderLoop::CommandsFor(fleet::Machine& machine, bool direct) {
  if (CaughtUp()) return registry_.Reconcile(machine, *deps_.job_table, direct);
  // After a pause in an outage, leases are renewed on the word of the other nodes while the copy
  // can't be confirmed: a cancellation that they hand over would never be carried out.
  return fleet::WorkerRegistry::CancellationCommands(machine, *deps_.job_table);
}

async::Task<> LeaderLoop::RoundLoop(async::Scope& term) {
  while (!term.cancelled()) {
    const double gap = RoundGapS(*deps_.settings, *deps_.operators, round_took_);
    async::Sleep rest(term, gap);
    co_await rest;
    if (!work_waits_) {
      auto wait = work_.Await(term, std::max(0.0, deps_.operators->round_s - gap));
      co_await wait;
    }
    // Looked at last: the process may have been paused in any of the waits.
    while (!term.cancelled() && !CaughtUp()) {
      auto wait = deps_.cache->changed().Await(term, deps_.settings->heartbeat_interval_s);
      co_await wait;
    }
    if (term.cancelled()) break;
    work_waits_ = false;
    co_await Round(term);
  }
}

async::Task<> LeaderLoop::Round(async::Scope& term) {
  if (registry_.NeedsHigherToken(*deps_.job_table)) {
    bool fenced = co_await deps_.election->Fence();
    if (fenced) registry_.SetToken(deps_.election->token());
  }
  bool settled = co_await committer_.ResolveUnanswered(term, deps_.operators->round_s);
  if (!settled) {
    work_waits_ = true;
    co_return;
  }
  const double begin = term.loop().Now();
  urgent_came_ = false;
  registry_.Learn(*deps_.job_table);
  std::vector<jobs::TaskTransition> transitions = registry_.Collect(*deps_.job_table, begin);
  std::map<std::string, int> requeued;
  for (const auto& m : transitions) {
    if (m.kind == jobs::TaskTransition::Kind::kRequeue) ++requeued[m.machine + ": " + m.why];
  }
  for (const auto& [why, n] : requeued) spdlog::info("{} tasks back from {}", n, why);
  std::optional<plan::Scope> scope;
  if (blocks_ && blocks_->divided()) scope = blocks_->WholeScope();
  plan::RoundResult plan = plan::PlanRound(context_, *deps_.job_table, registry_, begin,
                                           deps_.time_of_day(), scope ? &*scope : nullptr);
  round_took_ = term.loop().Now() - begin;
  cloud_.SetDemands(std::move(plan.demands));
  CarryOutStops(term, plan.preemptions);
  Decided decided = co_await DecidePlacements(term, &plan, scope ? &*scope : nullptr);
  if (term.cancelled()) co_return;
  for (const std::string& job : plan.retried_jobs) {
    spdlog::info("job {} fails wherever it runs: one task is retried", job);
    registry_.failures().OnRetry(job, begin);
  }
  if (!decided.placements.empty() || !plan.preemptions.empty()) {
    spdlog::info("round: {} waiting, {} placed, {} stopped for others, {:.1f} ms", plan.waiting,
                 decided.placements.size(), plan.preemptions.size(), round_took_ * 1000);
  }
  for (const auto& m : decided.placements) {
    spdlog::debug("place {} try {} on {}", model::TaskName(m.task), m.attempt, m.machine);
  }
  // One write for all that a group of tasks has to say: the service takes few of them.
  std::move(decided.placements.begin(), decided.placements.end(), std::back_inserter(transitions));
  co_await Commit(term, std::move(transitions), std::move(decided.preconditions));
}

void LeaderLoop::CarryOutStops(async::Scope& term, const std::vector<plan::Preemption>& stops) {
  for (const plan::Preemption& p : stops) {
    registry_.Stop(p.task, p.attempt, p.grace_s);
    spdlog::debug("stop {} for {}", model::TaskName(p.task),
                  p.for_job.empty() ? "its machine's notice" : p.for_job);
    SendCommands(term, p.machine);
  }
}

async::Task<LeaderLoop::Decided> LeaderLoop::DecidePlacements(async::Scope& term,
                                                              plan::RoundResult* plan,
                                                              const plan::Scope* scope) {
  Decided decided;
  decided.preconditions = {store::TokenPrecondition(deps_.election->token())};
  if (!blocks_) {
    decided.placements = std::move(plan->places);
    co_return decided;
  }
  co_await blocks_->Review(term, *plan, scope);
  if (term.cancelled()) co_return decided;
  if (scope == nullptr && blocks_->MayPlaceOnAll()) {
    decided.placements = std::move(plan->places);
    co_return decided;
  }
  const std::optional<size_t> holder = blocks_->Holding(deps_.session());
  if (!holder) {
    // Until the copy has passed what was just written, or while this node holds no block.
    work_waits_ = true;
    co_return decided;
  }
  const plan::Scope own = blocks_->OwnScope(*holder);
  const double now = term.loop().Now();
  plan::RoundResult placed =
      plan::PlanRound(context_, *deps_.job_table, registry_, now, deps_.time_of_day(), &own);
  round_took_ += term.loop().Now() - now;
  decided.placements = std::move(placed.places);
  decided.preconditions = deps_.records->PlacementPreconditions(*holder);
  co_return decided;
}

double LeaderLoop::BackgroundIntervalS() const {
  return kBackgroundReports * deps_.settings->heartbeat_interval_s;
}

bool LeaderLoop::GivesWay(const jobs::Transaction& transaction) {
  // All the rest is decided anew once there is urgent work that could go before it.
  if (urgent_came_ && transaction.priority > jobs::WritePriority::kJobEnd) return true;
  // What nobody waits for gives way to anything new, but for one transaction now and then: on a
  // busy day there is always something new, and nothing may be left for ever.
  if (transaction.priority < jobs::WritePriority::kCleanup) return false;
  const double now = term_->loop().Now();
  if (work_waits_ && now < last_background_at_ + BackgroundIntervalS()) return true;
  last_background_at_ = now;
  return false;
}

async::Task<> LeaderLoop::Commit(async::Scope& term, std::vector<jobs::TaskTransition> transitions,
                                 std::vector<model::Precondition> preconditions) {
  if (deps_.formats->change_pending()) {
    work_waits_ = true;
    co_return;
  }
  jobs::TransactionLimits limits = committer_.Limits(std::move(preconditions), deps_.time_of_day());
  limits.others_place = blocks_ && blocks_->divided();
  auto version = [this](const std::string& key) { return deps_.cache->Version(key); };
  auto transactions = jobs::BuildTransactions(*deps_.job_table, transitions, limits, version);
  std::map<jobs::WritePriority, size_t> asked;
  for (const jobs::Transaction& t : transactions) asked[t.priority] += t.writes.size();
  spdlog::debug("commit: {} urgent starts, {} ends of jobs, {} starts, {} to tidy up, {} outcomes",
                asked[jobs::WritePriority::kUrgentStart], asked[jobs::WritePriority::kJobEnd],
                asked[jobs::WritePriority::kStart], asked[jobs::WritePriority::kCleanup],
                asked[jobs::WritePriority::kTaskEnd]);
  co_await committer_.Commit(term, std::move(transactions), deps_.operators->round_s);
}

void LeaderLoop::RecordFinals(const std::vector<model::KeyWrite>& writes) const {
  // A job's end is written with the drop of its record: what awaits it needs no read of its own.
  for (const model::KeyWrite& w : writes) {
    const store::ParsedKey key = store::ParseKey(w.key);
    const auto* final_key = std::get_if<store::FinalKeyName>(&key);
    if (final_key == nullptr) continue;
    if (auto record = store::ReadFinal(w.value)) {
      deps_.job_table->RecordFinal(final_key->job, *record);
    }
  }
}

std::vector<std::string> LeaderLoop::DescribeEnds(const jobs::Transaction& transaction) const {
  std::vector<std::string> lines;
  for (const model::KeyWrite& w : transaction.writes) {
    const store::ParsedKey key = store::ParseKey(w.key);
    const auto* job_key = std::get_if<store::JobKeyName>(&key);
    if (job_key == nullptr || !w.value.empty()) continue;
    const jobs::Job* job = deps_.job_table->Find(job_key->job);
    if (job == nullptr) continue;
    lines.push_back(
        fmt::format("job {} ({}) {} {:.1f} s after its submission: {} x {} cpus, mean run {:.1f} s",
                    job_key->job, job->spec.job_class, job->cancelled ? "cancelled" : "done",
                    deps_.time_of_day() - job->submitted, job->spec.tasks, job->spec.cpus,
                    job->MeanRun().value_or(0)));
  }
  return lines;
}

void LeaderLoop::SendCommands(async::Scope& term, const std::string& machine) {
  if (sending_.contains(machine)) {
    send_again_.insert(machine);
  } else if (sending_.size() < max_sends_) {
    sending_.insert(machine);
    term.Spawn(SendCommandsLoop(term, machine));
  } else if (send_again_.insert(machine).second) {
    // A round may have orders for every machine there is: their commands take turns, or they would
    // take the sockets that workers and users come in by.
    send_queue_.push_back(machine);
  }
}

async::Task<> LeaderLoop::SendCommandsLoop(async::Scope& term, std::string machine) {
  do {
    send_again_.erase(machine);
    fleet::Machine* m = registry_.Find(machine);
    // Who did not answer the last one hears the next in the answer to its report: hanging machines
    // would else hold the connections that others wait for.
    if (m == nullptr || m->endpoint.empty() || !m->has_reported() || m->unreachable ||
        !deps_.election->Entitled()) {
      break;
    }
    const model::FencingToken token = registry_.token();
    auto commands = CommandsFor(*m, true);
    // Its report has fetched them meanwhile, or they have to wait for the copy.
    if (commands.empty() && (m->token == token || !CaughtUp())) break;
    wire::HttpRequest q{.method = "POST",
                        .target = "/commands",
                        .body = wire::WriteCommands(token, m->agent_epoch, commands)};
    auto r =
        co_await workers_.Call(term, m->endpoint, std::move(q),
                               kCommandTimeoutRatio * deps_.settings->heartbeat_interval_s, false);
    const bool answered = r && (r->status == 200 || r->status == 409);
    if (answered) {
      auto report = wire::ReadHeartbeat(r->body);
      if (report && report->token > token) deps_.election->Superseded(report->token);
      if (report && registry_.OnHeartbeat(*report, term.loop().Now(), true)) {
        work_waits_ = true;
        work_.Notify();
      }
    }
    registry_.FinishDirect(machine, commands, token, answered);
  } while (!term.cancelled() && send_again_.contains(machine));
  sending_.erase(machine);
  while (!term.cancelled() && !send_queue_.empty() && sending_.size() < max_sends_) {
    const std::string next = std::move(send_queue_.front());
    send_queue_.pop_front();
    if (send_again_.erase(next) > 0) SendCommands(term, next);
  }
}

}  // namespace hallpier::controller
