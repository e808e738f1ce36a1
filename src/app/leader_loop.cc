#include "app/leader_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace hallpier::app {
namespace {

// Rounds that something new calls for come at least this part of the reaction time apart...
constexpr double kRoundGap = 1.0 / 12;
// ...and leave this many times their own length to everything else.
constexpr double kRoundRest = 5;
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

// What a refusal for size depends on: not on the times that are in final records.
std::vector<std::pair<std::string, size_t>> SizesOf(const std::vector<wire::Write>& writes) {
  std::vector<std::pair<std::string, size_t>> out;
  out.reserve(writes.size());
  for (const wire::Write& w : writes) out.emplace_back(w.key, w.value.size());
  return out;
}

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
      cloud_(deps_, roster_, context_, [this] { OnChange(); }) {
  context_.settings = deps_.settings;
  context_.operators = deps_.operators;
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
  alone_.clear();
  refused_.clear();
  unanswered_.clear();
  work_waits_ = true;  // what the former leader left undone
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
    const double least = kRoundGap * config::ReactionS(*deps_.settings, *deps_.operators);
    const double gap =
        std::clamp(kRoundRest * round_took_, least, std::max(deps_.operators->round_s, least));
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
  bool settled = co_await ResolveUnanswered(term);
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
  plan::RoundResult plan =
      plan::PlanRound(context_, *deps_.ledger, roster_, begin, deps_.time_of_day());
  round_took_ = term.loop().Now() - begin;
  cloud_.Want(std::move(plan.wants));
  for (const std::string& job : plan.retried_jobs) {
    spdlog::info("job {} fails wherever it runs: one task is retried", job);
    roster_.failures().OnRetry(job, begin);
  }
  if (!plan.places.empty() || !plan.preemptions.empty()) {
    spdlog::info("round: {} waiting, {} placed, {} stopped for others, {:.1f} ms", plan.waiting,
                 plan.places.size(), plan.preemptions.size(), round_took_ * 1000);
  }
  for (const plan::Preemption& p : plan.preemptions) {
    roster_.Stop(p.task, p.attempt, p.grace_s);
    spdlog::debug("stop {} for {}", wire::TaskName(p.task),
                  p.for_job.empty() ? "its machine's notice" : p.for_job);
    SendCommands(term, p.machine);
  }
  for (const auto& m : plan.places) {
    spdlog::debug("place {} try {} on {}", wire::TaskName(m.task), m.attempt, m.machine);
  }
  // One write for all that a group of tasks has to say: the service takes few of them.
  std::move(plan.places.begin(), plan.places.end(), std::back_inserter(mutations));
  co_await Commit(term, std::move(mutations));
}

double LeaderLoop::BackgroundIntervalS() const {
  return kBackgroundReports * deps_.settings->report_s;
}

jobs::BatchLimits LeaderLoop::Limits() const {
  jobs::BatchLimits limits;
  limits.ops = deps_.formats->txn_ops();
  limits.value_bytes = deps_.formats->value_bytes();
  limits.block_key = store::BlockKey(0);
  limits.token = deps_.leadership->token();
  limits.patience_s = deps_.settings->report_s;
  limits.packed = deps_.formats->packed();
  limits.time_of_day = deps_.time_of_day();
  limits.alone = &alone_;
  return limits;
}

void LeaderLoop::OnTooLarge(const std::vector<wire::Write>& writes) {
  if (!deps_.formats->packed() && deps_.settings->state_next) {
    deps_.formats->Prove("the limits are lower");
    return;
  }
  if (alone_.contains(writes[0].key)) {
    spdlog::error("state: {} is refused as it is; it is left until it has another size",
                  writes[0].key);
    refused_[writes[0].key] = SizesOf(writes);
  } else {
    for (const wire::Write& w : writes) alone_.insert(w.key);
  }
}

bool LeaderLoop::Refused(const std::vector<wire::Write>& writes) const {
  auto it = refused_.find(writes[0].key);
  return it != refused_.end() && it->second == SizesOf(writes);
}

rt::Task<> LeaderLoop::Commit(rt::Scope& term, std::vector<jobs::Mutation> mutations) {
  if (deps_.formats->changing()) {
    work_waits_ = true;
    co_return;
  }
  const jobs::BatchLimits limits = Limits();
  auto version = [this](const std::string& key) { return deps_.replica->Version(key); };
  auto txns = jobs::BuildTxns(*deps_.ledger, mutations, limits, version);
  const double begin = term.loop().Now();
  std::map<jobs::Rank, size_t> asked;
  for (const jobs::Txn& t : txns) asked[t.rank] += t.writes.size();
  spdlog::debug("commit: {} urgent starts, {} ends of jobs, {} starts, {} to tidy up, {} outcomes",
                asked[jobs::Rank::kUrgentStart], asked[jobs::Rank::kEnd], asked[jobs::Rank::kStart],
                asked[jobs::Rank::kTidy], asked[jobs::Rank::kOutcome]);
  for (jobs::Txn& t : txns) {
    // What the budget has no room for now is decided anew, with what has come in meanwhile; so is
    // all the rest once there is urgent work that could go before it.
    const double left = begin + deps_.operators->round_s - term.loop().Now();
    // What nobody waits for gives way to anything new, but for one transaction now and then: on a
    // busy day there is always something new, and nothing may be left for ever.
    const bool waits = t.rank >= jobs::Rank::kTidy;
    const double now = term.loop().Now();
    const bool gives_way =
        waits && work_waits_ && now < last_background_at_ + BackgroundIntervalS();
    if (left <= 0 || gives_way || (urgent_came_ && t.rank > jobs::Rank::kEnd)) {
      work_waits_ = true;
      co_return;
    }
    if (Refused(t.writes)) continue;
    if (waits) last_background_at_ = now;
    const Written written = co_await Write(term, t, left);
    if (term.cancelled()) co_return;
    if (written == Written::kNoAnswer && !t.machines.empty()) unanswered_.push_back(std::move(t));
    // What was refused for what it holds holds up nothing that comes behind it.
    if (written != Written::kYes && written != Written::kNever) co_return;
  }
}

rt::Task<LeaderLoop::Written> LeaderLoop::Write(rt::Scope& term, const jobs::Txn& txn,
                                                double patience_s) {
  // Taken now: the watch may bring the end before the answer does.
  std::vector<std::string> ends;
  for (const wire::Write& w : txn.writes) DescribeEnd(w, &ends);
  const auto urgent = txn.rank <= jobs::Rank::kEnd ? store::Urgent::kYes : store::Urgent::kNo;
  auto r = co_await deps_.client->Txn(txn.guards, txn.writes, urgent, patience_s);
  if (term.cancelled()) co_return Written::kNoAnswer;
  const std::set<std::string> machines(txn.machines.begin(), txn.machines.end());
  if (r.ok()) {
    for (const auto& line : ends) spdlog::info("{}", line);
    RecordFinals(txn.writes);
    for (const wire::Write& w : txn.writes) deps_.replica->Apply(w.key, w.value, r.value.revision);
    for (const auto& m : machines) SendCommands(term, m);
    co_return Written::kYes;
  }
  spdlog::info("commit of {} writes failed ({}{})", txn.writes.size(), static_cast<int>(r.status),
               r.value.failed.empty() ? "" : ", overtaken: " + r.value.failed.front());
  work_waits_ = true;
  switch (r.status) {
    case store::Status::kInvalid:
      OnTooLarge(txn.writes);
      co_return Written::kNever;
    case store::Status::kRefused:
      co_return Written::kNotNow;
    case store::Status::kConflict:
      break;
    default:
      co_return Written::kNoAnswer;
  }
  // The watch brings most of it by itself. Were the copy wrong for good, the same write would
  // fail in every round, and all that comes behind it with it.
  bool known = true;
  for (const std::string& key : r.value.failed) {
    if (key == store::BlockKey(0)) continue;
    bool read = co_await deps_.replica->Refresh(key);
    if (term.cancelled()) co_return Written::kNoAnswer;
    known = known && read;
  }
  // Overtaken by its own first copy, perhaps: then there is something to start.
  for (const auto& m : machines) SendCommands(term, m);
  co_return known ? Written::kOvertaken : Written::kNotNow;
}

rt::Task<bool> LeaderLoop::ResolveUnanswered(rt::Scope& term) {
  while (!unanswered_.empty()) {
    const Written written = co_await Write(term, unanswered_.front(), deps_.operators->round_s);
    if (term.cancelled()) co_return false;
    if (written == Written::kNotNow || written == Written::kNoAnswer) co_return false;
    unanswered_.pop_front();
  }
  co_return true;
}

void LeaderLoop::RecordFinals(const std::vector<wire::Write>& writes) const {
  // A job's end is written with the drop of its record: what awaits it needs no read of its own.
  for (const wire::Write& w : writes) {
    const store::ParsedKey key = store::ParseKey(w.key);
    if (key.kind != store::KeyKind::kFinal) continue;
    if (auto record = store::ReadFinal(w.value)) deps_.ledger->RecordFinal(key.job, *record);
  }
}

void LeaderLoop::DescribeEnd(const wire::Write& w, std::vector<std::string>* lines) const {
  const store::ParsedKey key = store::ParseKey(w.key);
  if (key.kind != store::KeyKind::kJob || !w.value.empty()) return;
  const jobs::Job* job = deps_.ledger->Find(key.job);
  if (job == nullptr) return;
  lines->push_back(
      fmt::format("job {} ({}) {} {:.1f} s after its submission: {} x {} cpus, mean run {:.1f} s",
                  key.job, job->spec.job_class, job->cancelled ? "cancelled" : "done",
                  deps_.time_of_day() - job->submitted, job->spec.tasks, job->spec.cpus,
                  job->MeanRun().value_or(0)));
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
