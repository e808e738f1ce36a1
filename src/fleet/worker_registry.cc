#include "fleet/worker_registry.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <unordered_set>

#include "model/job.h"

namespace hallpier::fleet {
namespace {

// Steady clocks may differ by this much; a report period covers the rest (steps, late timers).
constexpr double kDrift = 0.001;
// A machine this many times slower than others is better replaced.
constexpr double kSlow = 2;
// That takes so many tasks, of jobs with so many ends; each moves the estimate by this part.
constexpr uint32_t kSamples = 3;
constexpr double kLearn = 0.4;
// Machines remembered as gone, so that late lists and reports don't bring them back: at least so
// many...
constexpr size_t kGoneKept = 5000;
// ...and all that can be returned while a list may still name them (lists are late by up to twice
// the usual lag) or a report of theirs may be under way.
constexpr double kListLags = 2;
// Images that machines are remembered to have.
constexpr size_t kImagesKept = 2000;
// Our answers to a machine count as lost once so many answers in a row had no effect...
constexpr int kLostAnswers = 3;
// ...or once its lease has run out within this part of it after an answer. (The lease counts from
// when the answered report was sent, which may be a few seconds before the answer.)
constexpr double kLostAnswersLease = 0.75;

jobs::TaskTransition Requeue(const Placement& placement, std::string_view why) {
  jobs::TaskTransition transition;
  transition.kind = jobs::TaskTransition::Kind::kRequeue;
  transition.task = placement.task;
  transition.attempt = placement.attempt;
  transition.machine = placement.machine;
  transition.why = why;
  return transition;
}

FailureTracker::Options FailureOptions(const WorkerRegistry::Options& options) {
  return {.initial_backoff_s = options.heartbeat_interval_s,
          .max_backoff_s = options.lease_s,
          .suspension_s = options.lease_s,
          .retries_per_s = options.retries_per_s};
}

size_t GoneKept(const WorkerRegistry::Options& options) {
  const double remembered_s = kListLags * options.list_lag_s + options.lease_s;
  return std::max(kGoneKept, static_cast<size_t>(options.returns_per_s * remembered_s));
}

}  // namespace

WorkerRegistry::WorkerRegistry(Options options)
    : options_(options), gone_kept_(GoneKept(options)), failures_(FailureOptions(options)) {}

void WorkerRegistry::BeginTerm(model::FencingToken token, double now, double others_until) {
  token_ = term_token_ = token;
  term_start_ = now;
  others_until_ = others_until;
  gone_.clear();
  for (auto& [name, m] : machines_) {
    m.sent.clear();
    // What ran in an earlier term of ours was watched by others since: how long it has taken is not
    // known here, and machines that are well would be taken for slow.
    for (auto& [task, reported] : m.reported_tasks) reported.seen_start = false;
  }
}

Machine* WorkerRegistry::Find(const std::string& name) {
  auto it = index_.find(name);
  return it == index_.end() ? nullptr : it->second;
}

std::pair<Machine*, bool> WorkerRegistry::Add(const std::string& name) {
  auto [it, fresh] = index_.try_emplace(name, nullptr);
  if (fresh) {
    it->second = &machines_.try_emplace(name).first->second;
    it->second->name = name;
  }
  return {it->second, fresh};
}

void WorkerRegistry::TakeTasks(Machine& m, const model::Heartbeat& r, double now) {
  std::map<model::TaskId, ReportedTask> reported;
  for (const model::TaskStatus& p : r.tasks) {
    ReportedTask h;
    h.attempt = p.attempt;
    h.state = p.state;
    h.cause = p.cause;
    h.since = now;
    auto old = m.reported_tasks.find(p.task);
    const bool known = old != m.reported_tasks.end() && old->second.attempt == p.attempt;
    if (known && old->second.state == p.state && old->second.cause == p.cause) {
      h = old->second;
    } else if (p.state == model::TaskPhase::kExited) {
      // A task may fail before any report has shown it alive: that counts like any other failure.
      if (p.cause == model::ExitCause::kDone) failures_.OnSuccess(p.task.job, m.name);
      if (p.cause == model::ExitCause::kError) failures_.OnFailure(p.task.job, m.name, now);
      if (known && old->second.state == model::TaskPhase::kRunning && old->second.seen_start) {
        h.run_s = now - old->second.since;
      }
    } else if (p.state == model::TaskPhase::kRunning) {
      h.seen_start = known || m.sent.contains(p.task);
    }
    // One worker may hold several attempts of a task; the newest is the one that matters.
    auto [it, fresh] = reported.emplace(p.task, h);
    if (!fresh && it->second.attempt < h.attempt) it->second = h;
  }
  m.reported_tasks = std::move(reported);
}

void WorkerRegistry::CheckAcknowledged(Machine& m, const model::Heartbeat& r, double now) const {
  if (!m.has_reported() || m.answered.token != token_) return;
  auto miss = [&](int n) {
    if (m.unacknowledged == 0) m.unacknowledged_since = now;
    m.unacknowledged += n;
  };
  if (r.agent_epoch > m.answered.agent_epoch) {
    // Its lease ran out although we had answered within it.
    if (now - m.last_answer < kLostAnswersLease * options_.lease_s) miss(kLostAnswers);
    return;
  }
  auto shown = [&](const model::TaskId& task) {
    return std::any_of(r.tasks.begin(), r.tasks.end(),
                       [&](const model::TaskStatus& p) { return p.task == task; });
  };
  const bool due = m.token < token_ || !m.answered.starts.empty();
  if (!due) return;
  const bool heeded =
      r.token >= token_ && std::all_of(m.answered.starts.begin(), m.answered.starts.end(), shown);
  if (heeded) {
    m.unacknowledged = 0;
  } else {
    miss(1);
  }
}

bool WorkerRegistry::AnswersLost(const Machine& m, double now) const {
  return m.unacknowledged >= kLostAnswers &&
         (now - m.unacknowledged_since > options_.lease_s / 3 || m.unacknowledged > kLostAnswers);
}

bool WorkerRegistry::OnHeartbeat(const model::Heartbeat& r, double now, bool direct) {
  auto [known, fresh] = Add(r.machine);
  Machine& m = *known;
  if (fresh) {
    m.requested_at = now;
    m.idle_since = now;
    // A late report, or a machine that a late rental request brought back: return it once more.
    if (gone_.contains(r.machine)) Return(m, "reports after it was gone");
  }
  // Reports may be held back for minutes: what is not newer proves nothing.
  if (m.has_reported() && (r.agent_epoch < m.agent_epoch ||
                           (r.agent_epoch == m.agent_epoch && r.sequence <= m.sequence))) {
    return false;
  }
  if (direct) {
    m.unacknowledged = 0;  // commands do reach it
  } else {
    CheckAcknowledged(m, r, now);
  }
  const bool first = !m.has_reported();
  // How long a machine took of which no rental and no list has told is not known.
  if (first && !fresh && m.booting) boot_times_.OnBooted(r.machine_type, now - m.requested_at, now);
  const bool moved_on = r.agent_epoch > m.agent_epoch;
  const bool learned = r.token > m.token;
  m.endpoint = r.endpoint;
  m.machine_type = r.machine_type;
  m.zone = r.zone;
  m.spot = r.spot;
  m.agent_epoch = r.agent_epoch;
  m.sequence = r.sequence;
  m.token = r.token;
  m.booting = false;
  m.unreachable = false;
  m.last_status = now;
  if (!direct) {
    m.heartbeat_sequence = r.sequence;
    m.last_heartbeat = now;
  } else if (moved_on) {
    m.heartbeat_sequence = 0;
    // The new session has a lease of its own, which nobody has renewed: it began by now. What is
    // started in it by direct command may live as long.
    m.last_answer = std::max(m.last_answer, now);
  }
  const bool had_spot_notice = m.HasSpotNotice();
  m.reclaim_at = r.spot_notice_s ? now + *r.spot_notice_s : std::numeric_limits<double>::infinity();
  const auto before = m.reported_tasks;
  TakeTasks(m, r, now);
  bool changed = learned || first || moved_on || had_spot_notice != r.spot_notice_s.has_value() ||
                 before.size() != m.reported_tasks.size();
  for (const auto& [task, h] : m.reported_tasks) {
    auto old = before.find(task);
    changed = changed || old == before.end() || old->second.state != h.state ||
              old->second.attempt != h.attempt;
  }
  return changed;
}

void WorkerRegistry::Learn(const jobs::JobTable& job_table) {
  failures_.Reconcile(job_table, machines_.size());
  for (const std::string& name : failures_.FaultyMachines()) {
    if (Machine* m = Find(name)) Return(*m, "fails the tasks it starts");
  }
  for (auto& [name, m] : machines_) {
    for (auto& [task, h] : m.reported_tasks) {
      const jobs::Job* job = job_table.Find(task.job);
      if (job == nullptr) continue;
      const bool running = h.state == model::TaskPhase::kRunning;
      if (running) LearnImage(m, job->spec.image);
      const auto mean = job->MeanRun();
      if (h.learned || !mean || *mean <= 0 || job->done() < kSamples) continue;
      double ran = 0;
      if (h.state == model::TaskPhase::kExited && h.cause == model::ExitCause::kDone) ran = h.run_s;
      // A running task tells something once it has taken far too long, not before.
      // As of its last report: while none come it may have ended long ago.
      const double runs = m.last_status - h.since;
      if (running && h.seen_start && runs > kSlow * *mean) ran = runs;
      if (ran <= 0) continue;
      h.learned = true;
      ++m.slow_samples;
      m.slowness += kLearn * (ran / *mean - m.slowness);
    }
  }
}

bool WorkerRegistry::Slow(const Machine& m) {
  return m.slow_samples >= static_cast<int>(kSamples) && m.slowness > kSlow;
}

void WorkerRegistry::OnAnswered(const model::Heartbeat& r,
                                const std::vector<model::WorkerCommand>& commands, double now) {
  Machine* m = Find(r.machine);
  if (m == nullptr) return;
  if (r.agent_epoch != m->agent_epoch || r.sequence != m->sequence) {
    // It was sent before the newest one was, which was here by then.
    m->last_answer = std::max(m->last_answer, m->last_status);
    return;
  }
  m->last_answer = now;
  m->answered = {token_, m->agent_epoch, {}};
  for (const model::WorkerCommand& o : commands) {
    if (o.kind == model::CommandKind::kRun) m->answered.starts.push_back(o.task);
  }
}

void WorkerRegistry::OnListed(const std::vector<model::CloudMachine>& machines, double asked,
                              double now) {
  std::unordered_set<std::string> seen;
  seen.reserve(machines.size());
  for (const model::CloudMachine& l : machines) {
    if (gone_.contains(l.machine)) continue;  // lists lag
    seen.insert(l.machine);
    auto [known, fresh] = Add(l.machine);
    Machine& m = *known;
    if (fresh || !m.has_reported()) {
      m.endpoint = l.endpoint;
      m.machine_type = l.machine_type;
      m.zone = l.zone;
      m.spot = l.spot;
    }
    if (fresh) m.idle_since = now;
    if (!m.listed) {
      m.listed = true;
      m.first_listed = now;
      m.requested_at = now - l.age_s;
    }
    if (m.booting && l.state != model::CloudMachineState::kBooting) {
      m.booting = false;
      m.up_seen = now;
    }
    if (l.state == model::CloudMachineState::kFailed) Return(m, "failed by itself");
  }
  std::vector<std::string> vanished;
  for (auto& [name, m] : machines_) {
    // Lists may be older than the one before, but never by more than twice the lag: what was in a
    // list before that and is missing now is gone.
    const bool settled = m.listed && asked - m.first_listed > 2 * options_.list_lag_s +
                                                                  options_.heartbeat_interval_s / 3;
    if (settled && !seen.contains(name)) vanished.push_back(name);
  }
  for (const auto& name : vanished) {
    spdlog::info("machine {} is no longer listed: it is gone", name);
    OnReturned(name);
  }
}

void WorkerRegistry::OnScaledOut(const std::vector<std::string>& names,
                                 const model::ScaleOutRequest& request, double now) {
  for (const auto& name : names) {
    auto [known, fresh] = Add(name);
    if (!fresh) continue;
    Machine& m = *known;
    m.machine_type = request.machine_type;
    m.zone = request.zone;
    m.spot = request.spot;
    m.requested_at = m.idle_since = now;
  }
}

void WorkerRegistry::OnReturned(const std::string& machine) {
  index_.erase(machine);
  machines_.erase(machine);
  failures_.ForgetMachine(machine);
  gone_.insert(machine);
  // Names grow with time: the oldest are the last that could still be heard of.
  if (gone_.size() > gone_kept_) gone_.erase(gone_.begin());
}

void WorkerRegistry::Return(Machine& m, const std::string& why) {
  if (m.returning) return;
  m.returning = true;
  m.why_returning = why;
  spdlog::info("machine {} ({} {} {}): to be returned: {}", m.name, m.machine_type, m.zone,
               m.spot ? "spot" : "ordinary", why);
}

void WorkerRegistry::Stop(const model::TaskId& task, uint64_t attempt, double grace_s) {
  auto [it, fresh] = stops_.try_emplace(task, StopRequest{attempt, grace_s});
  if (!fresh && (it->second.attempt != attempt || grace_s < it->second.grace_s)) {
    it->second = {attempt, grace_s};
  }
}

bool WorkerRegistry::Stopping(const model::TaskId& task, uint64_t attempt) const {
  auto it = stops_.find(task);
  return it != stops_.end() && it->second.attempt == attempt;
}

std::optional<size_t> WorkerRegistry::ImageId(const std::string& image) const {
  auto it = images_.find(image);
  if (it == images_.end()) return std::nullopt;
  return it->second;
}

void WorkerRegistry::LearnImage(Machine& m, const std::string& image) {
  if (images_.size() >= kImagesKept && !images_.contains(image)) {
    // Better to know nothing for a while than to keep every image there ever was.
    images_.clear();
    for (auto& [name, other] : machines_) other.images.clear();
  }
  const size_t id = images_.try_emplace(image, images_.size()).first->second;
  if (m.images.size() <= id) m.images.resize(id + 1);
  m.images[id] = true;
}

bool WorkerRegistry::Unwanted(const Machine& m, const model::TaskId& task, uint64_t attempt,
                              const jobs::JobTable& job_table) const {
  const jobs::Job* job = job_table.Find(task.job);
  return m.returning || m.HasSpotNotice() || Stopping(task, attempt) || job == nullptr ||
         job->cancelled;
}

std::vector<model::WorkerCommand> WorkerRegistry::Reconcile(Machine& m,
                                                            const jobs::JobTable& job_table,
                                                            bool direct) {
  std::vector<model::WorkerCommand> out;
  const auto& placements = job_table.PlacementsOn(m.name);
  // Orders for what is neither recorded nor there any more have had their effect, unless they may
  // still arrive.
  std::erase_if(m.sent, [&](const auto& s) {
    const bool current = s.second.token == token_ && s.second.agent_epoch == m.agent_epoch;
    return !placements.contains(s.first) && !m.reported_tasks.contains(s.first) &&
           !(current && s.second.in_flight());
  });
  for (const auto& [task, h] : m.reported_tasks) {
    auto recorded = placements.find(task);
    if (recorded != placements.end() && recorded->second == h.attempt) continue;
    if (h.state != model::TaskPhase::kExited) {
      out.push_back({model::CommandKind::kStop, task, h.attempt, 0});
      continue;
    }
    // While a lost start order may still arrive, the exited entry is what makes it void: after
    // `forget` it would start the attempt anew.
    auto s = m.sent.find(task);
    const bool in_flight = s != m.sent.end() && s->second.in_flight() &&
                           s->second.token == token_ && s->second.agent_epoch == m.agent_epoch;
    if (!in_flight) out.push_back({model::CommandKind::kForget, task, h.attempt, 0});
  }
  for (const auto& [task, attempt] : placements) {
    const jobs::Job* job = job_table.Find(task.job);
    auto reported = m.reported_tasks.find(task);
    const bool here = reported != m.reported_tasks.end() && reported->second.attempt == attempt;
    const bool cancelled = job == nullptr || job->cancelled;
    const bool stop = cancelled || Stopping(task, attempt);
    if (here) {
      if (!stop || reported->second.state == model::TaskPhase::kExited) continue;
      const double grace = cancelled ? 0 : stops_.at(task).grace_s;
      // A task that saves already would be cut short by a second stop without grace.
      if (grace > 0 && reported->second.state == model::TaskPhase::kSaving) continue;
      out.push_back({model::CommandKind::kStop, task, attempt, grace});
      continue;
    }
    // Nothing new for a machine that goes away, or that knows a higher token than ours.
    if (Unwanted(m, task, attempt, job_table) || m.token > token_) continue;
    out.push_back({model::CommandKind::kRun, task, attempt, 0});
    Sent& s = m.sent[task];
    if (s.token != token_ || s.agent_epoch != m.agent_epoch) s = {};
    s.attempt = attempt;
    s.token = token_;
    s.agent_epoch = m.agent_epoch;
    s.sequence = m.sequence;
    if (direct) ++s.open;
  }
  return out;
}

bool WorkerRegistry::StartIsDue(const std::string& machine, const model::TaskId& task,
                                uint64_t attempt) const {
  auto known = index_.find(machine);
  if (known == index_.end() || !known->second->has_reported()) return false;
  const Machine& m = *known->second;
  auto reported = m.reported_tasks.find(task);
  if (reported != m.reported_tasks.end() && reported->second.attempt == attempt) return false;
  auto sent = m.sent.find(task);
  return sent == m.sent.end() || sent->second.attempt != attempt || sent->second.token != token_ ||
         sent->second.agent_epoch != m.agent_epoch;
}

std::vector<model::WorkerCommand> WorkerRegistry::CancellationCommands(
    const Machine& m, const jobs::JobTable& job_table) {
  std::vector<model::WorkerCommand> out;
  for (const auto& [task, reported] : m.reported_tasks) {
    if (reported.state == model::TaskPhase::kExited) continue;
    const jobs::Job* job = job_table.Find(task.job);
    if (job == nullptr || !job->cancelled) continue;
    out.push_back({model::CommandKind::kStop, task, reported.attempt, 0});
  }
  return out;
}

void WorkerRegistry::FinishDirect(const std::string& machine,
                                  const std::vector<model::WorkerCommand>& commands,
                                  model::FencingToken token, bool answered) {
  Machine* m = Find(machine);
  if (m == nullptr) return;
  m->unreachable = !answered;
  for (const model::WorkerCommand& o : commands) {
    auto s = m->sent.find(o.task);
    if (o.kind != model::CommandKind::kRun || s == m->sent.end() || s->second.token != token)
      continue;
    if (s->second.open > 0) --s->second.open;
    if (!answered) s->second.lost = true;
    s->second.sequence = std::max(s->second.sequence, m->sequence);
  }
}

bool WorkerRegistry::NeedsHigherToken(const jobs::JobTable& job_table) const {
  for (const auto& [name, m] : machines_) {
    if (m.token != token_ || m.returning) continue;
    for (const auto& [task, s] : m.sent) {
      if (!s.lost || s.token != token_ || s.agent_epoch != m.agent_epoch ||
          m.heartbeat_sequence <= s.sequence || m.reported_tasks.contains(task)) {
        continue;
      }
      const auto& placements = job_table.PlacementsOn(name);
      auto recorded = placements.find(task);
      if (recorded != placements.end() && Unwanted(m, task, recorded->second, job_table))
        return true;
    }
  }
  return false;
}

bool WorkerRegistry::ProvenAbsent(const Machine& m, const model::TaskId& task) const {
  if (m.reported_tasks.contains(task)) return false;
  // Until the worker has seen our token, orders of an earlier leader may still arrive.
  if (m.token != token_ || !token_.known()) return false;
  auto it = m.sent.find(task);
  if (it == m.sent.end()) return true;  // nobody may have started it since
  const Sent& s = it->second;
  if (s.token != token_) return true;              // void since the worker saw ours
  if (m.agent_epoch > s.agent_epoch) return true;  // a new session has forgotten everything
  if (s.in_flight()) return false;
  // An order in the answer to a report is executed before the next report is sent, or never. The
  // answer to a direct command may be sent in between, and proves nothing.
  return m.heartbeat_sequence > s.sequence;
}

bool WorkerRegistry::Late(const Machine& m, const model::MachineType& type, double now) const {
  return !m.has_reported() && m.booting &&
         now - m.requested_at > boot_times_.Usual(type.name, type.boot_s);
}

WorkerRegistry::Outstanding WorkerRegistry::CountOutstanding(const model::MachineType& type,
                                                             double now) const {
  Outstanding out;
  for (const auto& [name, m] : machines_) {
    if (m.has_reported() || !m.booting || m.returning || m.machine_type != type.name) continue;
    ++(Late(m, type, now) ? out.late : out.in_time);
  }
  return out;
}

double WorkerRegistry::ExpiresAt(const Machine* m) const {
  // Counted from the last answer that anybody could have given: another leader, which may not know
  // yet that it has been followed, or we ourselves.
  double last = others_until_;
  if (m != nullptr) last = std::max(last, m->last_answer);
  return last + options_.lease_s * (1 + kDrift) + options_.heartbeat_interval_s / 3;
}

double WorkerRegistry::Unheard(const Machine& m, double now) const {
  // A machine that is up finds the leader within a few reports; before that nobody is silent. Who
  // has not found us yet may be with the former leader, for as long as that one may answer.
  if (m.booting) return 0;
  const double since = m.has_reported() ? term_start_ : std::max(term_start_, others_until_);
  return (now - std::max({m.last_heartbeat, since, m.up_seen})) / options_.heartbeat_interval_s;
}

bool WorkerRegistry::Silent(const Machine& m, double now) const {
  return Unheard(m, now) > options_.silent_ratio;
}

bool WorkerRegistry::Usable(const Machine& m, double now) const {
  // Only its own reports renew its lease: one that answers direct commands and reaches nobody loses
  // all it has.
  return m.has_reported() && !m.returning && !Slow(m) && m.token <= token_ &&
         m.unacknowledged < 2 && m.reclaim_at == std::numeric_limits<double>::infinity() &&
         !failures_.Suspended(m.name, now) &&
         now - m.last_heartbeat < 1.8 * options_.heartbeat_interval_s;
}

std::optional<jobs::TaskTransition> WorkerRegistry::OutcomeOf(const Placement& placement,
                                                              const Machine* m, bool gone,
                                                              const jobs::JobTable& job_table,
                                                              double now) const {
  if (m == nullptr || !m->has_reported()) {
    if (gone) return Requeue(placement, "machine gone");
    return std::nullopt;
  }
  auto reported = m->reported_tasks.find(placement.task);
  const bool here =
      reported != m->reported_tasks.end() && reported->second.attempt == placement.attempt;
  if (here && reported->second.state == model::TaskPhase::kExited) {
    return OutcomeOfExit(placement, *m, reported->second, gone, job_table, now);
  }
  if (!here && Unwanted(*m, placement.task, placement.attempt, job_table) &&
      ProvenAbsent(*m, placement.task)) {
    return Requeue(placement, "never started");
  }
  // An expired lease: the worker has killed it, heard or not.
  if (gone) return Requeue(placement, "lease expired");
  return std::nullopt;
}

std::optional<jobs::TaskTransition> WorkerRegistry::OutcomeOfExit(
    const Placement& placement, const Machine& m, const ReportedTask& exit, bool gone,
    const jobs::JobTable& job_table, double now) const {
  const jobs::Job* job = job_table.Find(placement.task.job);
  const bool service = job != nullptr && job->spec.kind == model::JobKind::kService;
  if (exit.cause == model::ExitCause::kDone && !service) {
    jobs::TaskTransition done;
    done.kind = jobs::TaskTransition::Kind::kDone;
    done.task = placement.task;
    done.attempt = placement.attempt;
    done.machine = placement.machine;
    done.run_s = exit.run_s;
    done.machine_type = m.machine_type;
    done.age_s = now - exit.since;
    return done;
  }
  // A report from before our term may be an old one that arrives now, ahead of newer ones: the
  // machine may have lost its lease since and been told to start the attempt again. Only an end
  // that counts for ever is taken from it.
  if (m.token < term_token_) {
    if (gone) return Requeue(placement, "lease expired");
    return std::nullopt;
  }
  return Requeue(placement, model::ExitCauseName(exit.cause));
}

std::vector<jobs::TaskTransition> WorkerRegistry::Collect(const jobs::JobTable& job_table,
                                                          double now) {
  std::vector<jobs::TaskTransition> out;
  for (const auto& [name, placements] : job_table.placements_by_machine()) {
    const Machine* m = Find(name);
    const bool gone = gone_.contains(name) || now > ExpiresAt(m);
    for (const auto& [task, attempt] : placements) {
      auto outcome = OutcomeOf({task, attempt, name}, m, gone, job_table, now);
      if (!outcome) continue;
      // Writing that takes its time, and may succeed late without an answer: meanwhile the worker
      // may be back, and must not be told to start what is about to start elsewhere.
      if (outcome->kind == jobs::TaskTransition::Kind::kRequeue) Stop(task, attempt, 0);
      out.push_back(std::move(*outcome));
    }
  }
  // Wishes to stop what is no longer recorded are fulfilled.
  std::erase_if(stops_, [&](const auto& s) {
    const jobs::Job* job = job_table.Find(s.first.job);
    if (job == nullptr) return true;
    const store::TaskState* open = job->FindOpen(s.first.index);
    return open == nullptr || open->machine.empty() || open->attempt != s.second.attempt;
  });
  return out;
}

}  // namespace hallpier::fleet
