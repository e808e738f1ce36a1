#include "app/leader_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>

#include "app/pace.h"

namespace hallpier::app {
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

LeaderLoop::LeaderLoop(LeaderDeps deps)
    : deps_(std::move(deps)),
      roster_({deps_.settings->report_s, deps_.settings->lease_s, deps_.settings->list_lag_s,
               deps_.operators->silent_ratio,
               kRetryWriteShare * deps_.settings->least().write_rps / kWritesPerRetry,
               CloudLoop::kReturnsPerCall * deps_.settings->cloud_rps}),
      max_sends_(
          std::max<size_t>(1, static_cast<size_t>(kCommandSockets * deps_.settings->max_sockets))),
      workers_(1, kMaxWorkerBody, max_sends_),
      cloud_(deps_, roster_, context_, [this] { OnChange(); }),
      committer_(*deps_.settings, *deps_.client, *deps_.replica, *deps_.formats, CommitHooks()) {
  context_.settings = deps_.settings;
  context_.operators = deps_.operators;
  if (deps_.operators->blocks.enabled) {
    blocks_ = std::make_unique<BlockLeader>(deps_, roster_, context_);
  }
}

Committer::Hooks LeaderLoop::CommitHooks() {
  Committer::Hooks hooks;
  hooks.gives_way = [this](const jobs::Txn& txn) { return GivesWay(txn); };
  hooks.describe = [this](const jobs::Txn& txn) { return DescribeEnds(txn); };
  hooks.on_written = [this](const jobs::Txn& txn) { RecordFinals(txn.writes); };
  hooks.on_placed = [this](const std::string& machine) { SendCommands(*term_, machine); };
  hooks.on_left = [this] { work_waits_ = true; };
  return hooks;
}

void LeaderLoop::Begin(rt::Scope& term) {
  term_ = &term;
  roster_.BeginTerm(deps_.leadership->token(), term.loop().Now(), deps_.leadership->others_until());
  term_began_ = deps_.leadership->token();
  context_.flavors = *deps_.flavors;
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
  if (!deps_.leadership->leading() || term_ == nullptr) return;
  const jobs::Job* job = deps_.ledger->Find(id);
  if (job != nullptr && job->cancelled) {
    for (const auto& [number, shard] : job->shards()) {
      for (const auto& [index, task] : shard.open) {
        if (!task.machine.empty()) SendCommands(*term_, task.machine);
      }
    }
  }
  if (job != nullptr && !job->held && job->priority <= wire::Priority::kUrgent) urgent_came_ = true;
  work_waits_ = true;
  work_.Notify();
}

void LeaderLoop::OnTasksChanged(const store::ParsedKey& key) {
  if (!blocks_ || !deps_.leadership->leading() || term_ == nullptr) return;
  const jobs::Job* job = deps_.ledger->Find(key.job);
  if (job == nullptr) return;
  const uint32_t parts = job->groups.layout().parts;
  const uint32_t first = key.shard * parts + key.part.value_or(0);
  const uint32_t end = key.part ? first + 1 : first + parts;
  for (auto it = job->shards().lower_bound(first); it != job->shards().end() && it->first < end;
       ++it) {
    for (const auto& [index, task] : it->second.open) {
      if (!task.machine.empty() &&
          roster_.StartIsDue(task.machine, {key.job, index}, task.attempt)) {
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
  const auto& machines = roster_.all();
  return static_cast<size_t>(std::count_if(machines.begin(), machines.end(), [](const auto& entry) {
    return entry.second.reported() && !entry.second.returning;
  }));
}

wire::HttpResponse LeaderLoop::OnCheckin(const wire::Report& report) {
  if (report.token > roster_.token()) {
    deps_.leadership->Superseded(report.token);
    return {.status = 421, .body = wire::WriteRedirect("")};
  }
  const double now = term_->loop().Now();
  if (roster_.OnReport(report, now, false)) {
    work_waits_ = true;
    work_.Notify();
  }
  fleet::Machine* m = roster_.Find(report.machine);
  std::vector<wire::Order> orders;
  const bool newest = m->session == report.session && m->sequence == report.sequence;
  if (newest) orders = OrdersFor(*m, false);
  // Counted before the answer goes out: the lease may be renewed from here on.
  roster_.OnAnswered(report, orders, now);
  return {.status = 200, .body = wire::WriteCheckinAnswer(roster_.token(), orders)};
}

bool LeaderLoop::CaughtUp() const {
  return deps_.replica->revision() >= term_began_ &&
         deps_.replica->complete_at() >= term_->loop().resumed_at();
}

std::vector<wire::Order> LeaderLoop::OrdersFor(fleet::Machine& machine, bool direct) {
  if (CaughtUp()) return roster_.Orders(machine, *deps_.ledger, direct);
  // After a pause in an outage, leases are renewed on the word of the other nodes while the copy
  // can't be confirmed: a cancellation that they hand over would never be carried out.
  return fleet::Roster::CancellationOrders(machine, *deps_.ledger);
}

rt::Task<> LeaderLoop::RoundLoop(rt::Scope& term) {
  while (!term.cancelled()) {
    const double gap = RoundGapS(*deps_.settings, *deps_.operators, round_took_);
    rt::Sleep rest(term, gap);
    co_await rest;
    if (!work_waits_) {
      auto wait = work_.Await(term, std::max(0.0, deps_.operators->round_s - gap));
      co_await wait;
    }
    // Looked at last: the process may have been paused in any of the waits.
    while (!term.cancelled() && !CaughtUp()) {
      auto wait = deps_.replica->changed().Await(term, deps_.settings->report_s);
      co_await wait;
    }
    if (term.cancelled()) break;
    work_waits_ = false;
    co_await Round(term);
  }
}

rt::Task<> LeaderLoop::Round(rt::Scope& term) {
  if (roster_.NeedsFence(*deps_.ledger)) {
    bool fenced = co_await deps_.leadership->Fence();
    if (fenced) roster_.SetToken(deps_.leadership->token());
  }
  bool settled = co_await committer_.ResolveUnanswered(term, deps_.operators->round_s);
  if (!settled) {
    work_waits_ = true;
    co_return;
  }
  const double begin = term.loop().Now();
  urgent_came_ = false;
  roster_.Learn(*deps_.ledger);
  std::vector<jobs::Mutation> mutations = roster_.Collect(*deps_.ledger, begin);
  std::map<std::string, int> requeued;
  for (const auto& m : mutations) {
    if (m.kind == jobs::Mutation::Kind::kRequeue) ++requeued[m.machine + ": " + m.why];
  }
  for (const auto& [why, n] : requeued) spdlog::info("{} tasks back from {}", n, why);
  std::optional<plan::Scope> scope;
  if (blocks_ && blocks_->divided()) scope = blocks_->WholeScope();
  plan::RoundResult plan = plan::PlanRound(context_, *deps_.ledger, roster_, begin,
                                           deps_.time_of_day(), scope ? &*scope : nullptr);
  round_took_ = term.loop().Now() - begin;
  cloud_.Want(std::move(plan.wants));
  CarryOutStops(term, plan.preemptions);
  Decided decided = co_await DecidePlacements(term, &plan, scope ? &*scope : nullptr);
  if (term.cancelled()) co_return;
  for (const std::string& job : plan.retried_jobs) {
    spdlog::info("job {} fails wherever it runs: one task is retried", job);
    roster_.failures().OnRetry(job, begin);
  }
  if (!decided.placements.empty() || !plan.preemptions.empty()) {
    spdlog::info("round: {} waiting, {} placed, {} stopped for others, {:.1f} ms", plan.waiting,
                 decided.placements.size(), plan.preemptions.size(), round_took_ * 1000);
  }
  for (const auto& m : decided.placements) {
    spdlog::debug("place {} try {} on {}", wire::TaskName(m.task), m.attempt, m.machine);
  }
  // One write for all that a group of tasks has to say: the service takes few of them.
  std::move(decided.placements.begin(), decided.placements.end(), std::back_inserter(mutations));
  co_await Commit(term, std::move(mutations), std::move(decided.guards));
}

void LeaderLoop::CarryOutStops(rt::Scope& term, const std::vector<plan::Preemption>& stops) {
  for (const plan::Preemption& p : stops) {
    roster_.Stop(p.task, p.attempt, p.grace_s);
    spdlog::debug("stop {} for {}", wire::TaskName(p.task),
                  p.for_job.empty() ? "its machine's notice" : p.for_job);
    SendCommands(term, p.machine);
  }
}

rt::Task<LeaderLoop::Decided> LeaderLoop::DecidePlacements(rt::Scope& term, plan::RoundResult* plan,
                                                           const plan::Scope* scope) {
  Decided decided;
  decided.guards = {{store::BlockKey(0), deps_.leadership->token()}};
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
      plan::PlanRound(context_, *deps_.ledger, roster_, now, deps_.time_of_day(), &own);
  round_took_ += term.loop().Now() - now;
  decided.placements = std::move(placed.places);
  decided.guards = deps_.records->PlacementGuards(*holder);
  co_return decided;
}

double LeaderLoop::BackgroundIntervalS() const {
  return kBackgroundReports * deps_.settings->report_s;
}

bool LeaderLoop::GivesWay(const jobs::Txn& txn) {
  // All the rest is decided anew once there is urgent work that could go before it.
  if (urgent_came_ && txn.rank > jobs::Rank::kEnd) return true;
  // What nobody waits for gives way to anything new, but for one transaction now and then: on a
  // busy day there is always something new, and nothing may be left for ever.
  if (txn.rank < jobs::Rank::kTidy) return false;
  const double now = term_->loop().Now();
  if (work_waits_ && now < last_background_at_ + BackgroundIntervalS()) return true;
  last_background_at_ = now;
  return false;
}

rt::Task<> LeaderLoop::Commit(rt::Scope& term, std::vector<jobs::Mutation> mutations,
                              std::vector<wire::Guard> guards) {
  if (deps_.formats->changing()) {
    work_waits_ = true;
    co_return;
  }
  jobs::BatchLimits limits = committer_.Limits(std::move(guards), deps_.time_of_day());
  limits.others_place = blocks_ && blocks_->divided();
  auto version = [this](const std::string& key) { return deps_.replica->Version(key); };
  auto txns = jobs::BuildTxns(*deps_.ledger, mutations, limits, version);
  std::map<jobs::Rank, size_t> asked;
  for (const jobs::Txn& t : txns) asked[t.rank] += t.writes.size();
  spdlog::debug("commit: {} urgent starts, {} ends of jobs, {} starts, {} to tidy up, {} outcomes",
                asked[jobs::Rank::kUrgentStart], asked[jobs::Rank::kEnd], asked[jobs::Rank::kStart],
                asked[jobs::Rank::kTidy], asked[jobs::Rank::kOutcome]);
  co_await committer_.Commit(term, std::move(txns), deps_.operators->round_s);
}

void LeaderLoop::RecordFinals(const std::vector<wire::Write>& writes) const {
  // A job's end is written with the drop of its record: what awaits it needs no read of its own.
  for (const wire::Write& w : writes) {
    const store::ParsedKey key = store::ParseKey(w.key);
    if (key.kind != store::KeyKind::kFinal) continue;
    if (auto record = store::ReadFinal(w.value)) deps_.ledger->RecordFinal(key.job, *record);
  }
}

std::vector<std::string> LeaderLoop::DescribeEnds(const jobs::Txn& txn) const {
  std::vector<std::string> lines;
  for (const wire::Write& w : txn.writes) {
    const store::ParsedKey key = store::ParseKey(w.key);
    if (key.kind != store::KeyKind::kJob || !w.value.empty()) continue;
    const jobs::Job* job = deps_.ledger->Find(key.job);
    if (job == nullptr) continue;
    lines.push_back(
        fmt::format("job {} ({}) {} {:.1f} s after its submission: {} x {} cpus, mean run {:.1f} s",
                    key.job, job->spec.job_class, job->cancelled ? "cancelled" : "done",
                    deps_.time_of_day() - job->submitted, job->spec.tasks, job->spec.cpus,
                    job->MeanRun().value_or(0)));
  }
  return lines;
}

void LeaderLoop::SendCommands(rt::Scope& term, const std::string& machine) {
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

rt::Task<> LeaderLoop::SendCommandsLoop(rt::Scope& term, std::string machine) {
  do {
    send_again_.erase(machine);
    fleet::Machine* m = roster_.Find(machine);
    // Who did not answer the last one hears the next in the answer to its report: hanging machines
    // would else hold the connections that others wait for.
    if (m == nullptr || m->endpoint.empty() || !m->reported() || m->unreachable ||
        !deps_.leadership->Entitled()) {
      break;
    }
    const uint64_t token = roster_.token();
    auto orders = OrdersFor(*m, true);
    // Its report has fetched them meanwhile, or they have to wait for the copy.
    if (orders.empty() && (m->token == token || !CaughtUp())) break;
    wire::HttpRequest q{.method = "POST",
                        .target = "/commands",
                        .body = wire::WriteCommands(token, m->session, orders)};
    auto r = co_await workers_.Call(term, m->endpoint, std::move(q),
                                    kCommandTimeoutRatio * deps_.settings->report_s, false);
    const bool answered = r && (r->status == 200 || r->status == 409);
    if (answered) {
      auto report = wire::ReadReport(r->body);
      if (report && report->token > token) deps_.leadership->Superseded(report->token);
      if (report && roster_.OnReport(*report, term.loop().Now(), true)) {
        work_waits_ = true;
        work_.Notify();
      }
    }
    roster_.FinishDirect(machine, orders, token, answered);
  } while (!term.cancelled() && send_again_.contains(machine));
  sending_.erase(machine);
  while (!term.cancelled() && !send_queue_.empty() && sending_.size() < max_sends_) {
    const std::string next = std::move(send_queue_.front());
    send_queue_.pop_front();
    if (send_again_.erase(next) > 0) SendCommands(term, next);
  }
}

}  // namespace hallpier::app
