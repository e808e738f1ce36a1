#include "plan/round.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>
#include <unordered_map>

#include "plan/demand.h"
#include "plan/job_order.h"

namespace hallpier::plan {
namespace {

// A running task that has outlived its prediction is expected to take this part of it more.
constexpr double kOverdue = 0.1;
// A start within this part of a report period counts as now.
constexpr double kNow = 1e-6;
// A new machine is worth renting for tasks that would else wait this part of its boot time.
constexpr double kWorthRenting = 0.2;
// A task that was running when it was first heard of has run for this part of its time, on average.
constexpr double kUnseenRun = 0.5;
// A job class is latency-sensitive if its tasks should start within this many report periods.
constexpr double kLatencySensitiveReports = 3;
// What a stop takes beyond saving, as a part of the reaction time.
constexpr double kStopReactions = 1.0 / 3;

Room NeedOf(const model::JobSpec& s) { return {s.cpus, s.gpus, s.memory_gb}; }

bool Allowed(const model::JobSpec& s, const fleet::Machine& m) {
  if (m.spot && !s.spot) return false;
  if (!s.zone.empty() && s.zone != m.zone) return false;
  return s.AllowsMachineType(m.machine_type);
}

// Room is kept for this many jobs of a latency-sensitive job class, of usual size, within the
// operators' share.
constexpr double kReserveJobs = 3;
// Each job that is there moves the usual size by this part, in every round.
constexpr double kLearnSize = 0.02;
// Before all tiers.
constexpr int kStarvedTier = -1;
constexpr double kLeastCpus = 0.01;
// Part of all processors that the retries of jobs which fail everywhere may take.
constexpr double kRetryShare = 0.02;

struct TeamState {
  double cpus_left = std::numeric_limits<double>::infinity();
  double gpus_left = std::numeric_limits<double>::infinity();
  Room owed;  // what is left of unfinished jobs so far, oldest first
};

struct Waiter {
  const jobs::Job* job;
  bool guaranteed;
  int tier;
  size_t count;
  bool retry = false;  // of a job that failed wherever it ran
};

// What the mapping gives a task that can't start now; by default it has no slot at all.
struct Later {
  double start = std::numeric_limits<double>::infinity();
  double completion = std::numeric_limits<double>::infinity();
};

class Round {
 public:
  Round(Context& context, const jobs::JobTable& job_table, const fleet::WorkerRegistry& registry,
        double now, double wall_now, const Scope* scope)
      : context_(context),
        job_table_(job_table),
        registry_(registry),
        now_(now),
        wall_now_(wall_now),
        scope_(scope),
        order_(context, wall_now) {
    if (scope_ != nullptr) result_.planned.resize(scope_->holders);
  }

  RoundResult Run() {
    SortJobs();
    if (!OfOneHolder()) LeaveNoticed();
    BuildMachines();
    BuildWaiters();
    size_t left = OldestTasks(*context_.settings), mapped = 0;
    bool reserved = false;
    for (size_t i = 0; i < waiters_.size() && left > 0;) {
      size_t j = i;
      while (j < waiters_.size() && waiters_[j].tier == waiters_[i].tier) ++j;
      if (!reserved && waiters_[i].job->priority > model::Priority::kUrgent) {
        ReserveForLatencySensitive();
        reserved = true;
      }
      left -= std::min(left, PlanTier(i, j, left));
      i = j;
      mapped = j;
    }
    if (!OfOneHolder()) WantForRest(mapped);
    return std::move(result_);
  }

 private:
  bool OfOneHolder() const { return scope_ != nullptr && scope_->only.has_value(); }

  // Whether this round uses a machine; sets `holder` where machines are divided.
  bool InScope(const std::string& machine, size_t* holder) const {
    if (scope_ == nullptr) return true;
    const std::optional<size_t> found = scope_->holder_of(machine);
    if (!found || (scope_->only && *found != *scope_->only)) return false;
    *holder = *found;
    return true;
  }

  void SortJobs() {
    for (const auto& [id, job] : job_table_.all()) jobs_.push_back(&job);
    std::sort(jobs_.begin(), jobs_.end(), [](const jobs::Job* a, const jobs::Job* b) {
      return std::tie(a->since, a->spec.id) < std::tie(b->since, b->spec.id);
    });
  }

  // Machines that are about to be taken: what can't end in time saves, if it can, or starts anew
  // elsewhere now rather than after its machine is found to be gone.
  void LeaveNoticed() {
    for (const auto& [name, m] : registry_.all()) {
      if (!m.HasSpotNotice()) continue;
      const double left = m.reclaim_at - now_;
      for (const auto& [task, attempt] : job_table_.PlacementsOn(name)) {
        const jobs::Job* job = job_table_.Find(task.job);
        if (job == nullptr || registry_.Stopping(task, attempt)) continue;
        if (Remaining(*job, m, task, attempt) < left - kStopReactions * Reaction()) continue;
        const bool saves = job->spec.checkpoint_every_s > 0 && job->spec.checkpoint_s < left;
        result_.preemptions.push_back(
            {task, attempt, name, saves ? job->spec.checkpoint_s : 0, {}});
      }
    }
  }

  size_t ZoneIndex(const std::string& zone) {
    return zones_.try_emplace(zone, zones_.size()).first->second;
  }

  // Seconds until a placed task frees its room.
  double Remaining(const jobs::Job& job, const fleet::Machine& m, const model::TaskId& task,
                   uint64_t attempt) const {
    const double run = PredictRun(job, m.machine_type);
    auto reported = m.reported_tasks.find(task);
    if (registry_.Stopping(task, attempt)) {
      return job.spec.checkpoint_s + kStopReactions * Reaction();
    }
    if (reported == m.reported_tasks.end() || reported->second.attempt != attempt ||
        reported->second.state != model::TaskPhase::kRunning) {
      return run;
    }
    return std::max(run - (now_ - reported->second.since), kOverdue * run);
  }

  void BuildMachines() {
    for (const auto& [name, m] : registry_.all()) {
      const model::MachineType* f = context_.FindMachineType(m.machine_type);
      size_t holder = 0;
      if (f == nullptr || !InScope(name, &holder)) continue;
      const Room capacity{f->cpus, f->gpus, f->memory_gb};
      const bool usable = registry_.Usable(m, now_);
      const bool coming =
          !m.has_reported() && m.booting && !m.returning && !registry_.Late(m, *f, now_);
      if (!usable && !coming) continue;
      total_cpus_ += f->cpus;
      Room free = usable ? capacity : Room{};
      std::vector<std::pair<double, Room>> releases;
      if (coming) {
        const double boot = registry_.boot_times().Expected(m.machine_type, f->boot_s);
        const double ready = m.requested_at + boot - now_;
        releases.emplace_back(std::max(ready, context_.settings->heartbeat_interval_s), capacity);
      }
      const auto& placements = job_table_.PlacementsOn(name);
      for (const auto& [task, attempt] : placements) {
        const jobs::Job* job = job_table_.Find(task.job);
        if (job == nullptr) continue;
        const Room need = NeedOf(job->spec);
        if (auto reported = m.reported_tasks.find(task);
            reported != m.reported_tasks.end() && reported->second.attempt == attempt &&
            reported->second.state == model::TaskPhase::kExited) {
          // Over, whether that is recorded yet or not: its room on the machine is free at once. Its
          // part of the team's limit is only if it is done: whoever leads next finds the attempt
          // recorded, and starts it again if the machine has lost its lease by then.
          const bool done = reported->second.cause == model::ExitCause::kDone &&
                            job->spec.kind != model::JobKind::kService;
          if (done) ended_[job->spec.team] += need;
          continue;
        }
        free -= need;
        releases.emplace_back(Remaining(*job, m, task, attempt), need);
      }
      for (const auto& [task, reported] : m.reported_tasks) {
        // What runs there without being recorded there is being stopped.
        if (placements.contains(task) || reported.state == model::TaskPhase::kExited) continue;
        const jobs::Job* job = job_table_.Find(task.job);
        if (job == nullptr) continue;
        free -= NeedOf(job->spec);
        releases.emplace_back(Reaction(), NeedOf(job->spec));
      }
      Slots slots{Timeline(free), ZoneIndex(m.zone)};
      for (const auto& [time, room] : releases) slots.timeline.Release(time, room);
      machines_.push_back(&m);
      machine_types_.push_back(f);
      holders_.push_back(holder);
      slots_.push_back(std::move(slots));
    }
  }

  // What the limits leave beyond all that is placed.
  std::map<std::string, TeamState> TeamsByLimits() const {
    std::map<std::string, TeamState> teams;
    for (const config::Team& t : context_.settings->teams) {
      TeamState& s = teams[t.name];
      if (t.cpus_max > 0) s.cpus_left = t.cpus_max;
      if (t.gpus_max > 0) s.gpus_left = t.gpus_max;
    }
    for (const jobs::Job* job : jobs_) {
      TeamState& s = teams[job->spec.team];
      const double placed = job->placed();
      s.cpus_left -= placed * job->spec.cpus;
      s.gpus_left -= placed * job->spec.gpus;
    }
    for (const auto& [team, room] : ended_) {
      teams[team].cpus_left += room.cpus;
      teams[team].gpus_left += room.gpus;
    }
    return teams;
  }

  std::map<std::string, TeamState> TeamsByShares() const {
    std::map<std::string, TeamState> teams;
    for (const auto& [team, room] : scope_->room) {
      teams[team].cpus_left = room.cpus;
      teams[team].gpus_left = room.gpus;
    }
    return teams;
  }

  bool MayPlaceHere(const jobs::Job& job) const {
    return !OfOneHolder() || scope_->may_place(*scope_->only, job);
  }

  void BuildWaiters() {
    std::map<std::string, TeamState> teams = OfOneHolder() ? TeamsByShares() : TeamsByLimits();
    for (const jobs::Job* job : jobs_) {
      // Who waits for other jobs holds no part of a guarantee, and makes nobody rent.
      if (job->cancelled || job->blocked) continue;
      TeamState& s = teams[job->spec.team];
      const config::Team* team = context_.settings->FindTeam(job->spec.team);
      const double unfinished = job->spec.tasks - job->done();
      s.owed += {unfinished * job->spec.cpus, unfinished * job->spec.gpus, 0};
      const bool has = team != nullptr && (team->cpus > 0 || team->gpus > 0);
      const Room guarantee = has ? Room{team->cpus, team->gpus, 0} : Room{};
      const bool within = has && guarantee.Fits(s.owed);
      if (within) guaranteed_.insert(job);
      LearnLatencySensitive(*job);
      const int tier = order_.Tier(*job, within);
      tiers_[job] = tier;
      if (job->waiting() == 0 || !MayPlaceHere(*job)) continue;
      Waiter w{job, within, tier * kBands + order_.Band(*job), job->waiting()};
      if (registry_.failures().Suspected(job->spec.id)) {
        // Within a tier last of all: nobody else waits for what most likely fails again.
        w.retry = true;
        w.tier = tier * kBands + kBands - 1;
        w.count = MayRetry(*job) ? 1 : 0;
      } else if (const size_t first = StarvedTasks(*job); first > 0) {
        w.tier = kStarvedTier;
        w.count = std::min(w.count, first);
      }
      waiters_.push_back(w);
    }
    std::stable_sort(waiters_.begin(), waiters_.end(),
                     [](const Waiter& a, const Waiter& b) { return a.tier < b.tier; });
    // Tasks over their team's limit stay out.
    for (Waiter& w : waiters_) {
      const model::JobSpec& spec = w.job->spec;
      TeamState& s = teams[spec.team];
      auto fit = [&](double left, double need) {
        return need <= 0 || left == std::numeric_limits<double>::infinity()
                   ? w.count
                   : static_cast<size_t>(std::max(0.0, std::floor(left / need + 1e-9)));
      };
      const size_t asked = w.count;
      w.count = std::min({w.count, fit(s.cpus_left, spec.cpus), fit(s.gpus_left, spec.gpus)});
      if (w.count < asked) result_.first_over_limit.try_emplace(spec.team, spec.id);
      s.cpus_left -= static_cast<double>(w.count) * spec.cpus;
      s.gpus_left -= static_cast<double>(w.count) * spec.gpus;
      result_.waiting += w.count;
    }
    std::erase_if(waiters_, [](const Waiter& w) { return w.count == 0; });
  }

  // Whatever the order says, a steady stream of heavier, smaller or more urgent work must not keep
  // a job out for ever: once it has waited for the operators' bound, the oldest such jobs come
  // first, with a set share of the processors. How many tasks of the job do; 0: it has its usual
  // place.
  size_t StarvedTasks(const jobs::Job& job) {
    const bool begun = job.done() + job.placed() > 0;
    const double bound = (begun ? 2 : 1) * context_.operators->starve_s;
    if (wall_now_ - job.since < bound) return 0;
    const double need = std::max(job.spec.cpus, kLeastCpus);
    const double room = context_.operators->starve_share * total_cpus_ - starved_cpus_ -
                        static_cast<double>(job.placed()) * need;
    // One task at least, if nobody has had one ahead of its turn yet: small sites are served, too.
    const size_t least = starved_cpus_ == 0 && !begun ? 1 : 0;
    const size_t tasks = std::max(least, static_cast<size_t>(std::max(0.0, room / need)));
    const size_t used = job.placed() + std::min<size_t>(tasks, job.waiting());
    starved_cpus_ += static_cast<double>(used) * need;
    return tasks;
  }

  // One task of a job that fails everywhere may be started at a time, within what the retries of
  // all such jobs may take together.
  bool MayRetry(const jobs::Job& job) {
    if (!registry_.failures().RetryDue(job.spec.id, now_)) return false;
    if (retries_ >= registry_.failures().RetryBudget(now_)) return false;
    const double most = kRetryShare * total_cpus_;
    const double in_use = suspected_cpus_ + static_cast<double>(job.placed()) * job.spec.cpus;
    if (in_use > 0 && in_use + job.spec.cpus > most) return false;
    ++retries_;
    suspected_cpus_ = in_use + job.spec.cpus;
    return true;
  }

  double Reaction() const { return config::ReactionS(*context_.settings, *context_.operators); }

  void LearnLatencySensitive(const jobs::Job& job) {
    if (job.spec.priority > model::Priority::kUrgent) return;
    for (const config::Objective& o : context_.settings->objectives) {
      if (o.kind == "wait" && o.job_class == job.spec.job_class &&
          o.within_s <= kLatencySensitiveReports * context_.settings->heartbeat_interval_s) {
        auto [job_class, fresh] = context_.latency_sensitive.try_emplace(job.spec.job_class);
        const double tasks = job.spec.tasks;
        job_class->second.need = NeedOf(job.spec);
        job_class->second.tasks += (fresh ? 1 : kLearnSize) * (tasks - job_class->second.tasks);
      }
    }
  }

  // Keeps room for tasks of latency-sensitive job classes that are yet to come: who should start at
  // once can't wait for a slot.
  void ReserveForLatencySensitive() {
    for (const auto& [name, job_class] : context_.latency_sensitive) {
      if (job_class.need.cpus <= 0) continue;
      TaskClass tc;
      tc.need = job_class.need;
      const double most = context_.operators->urgent_reserve * total_cpus_ / job_class.need.cpus;
      tc.count = static_cast<size_t>(std::ceil(std::min(most, kReserveJobs * job_class.tasks)));
      constexpr double kLong = 1e6;
      tc.run_s.assign(machines_.size(), kLong);
      MapTier(MappingOrder::kMinMin, {tc}, slots_, tc.count);
    }
  }

  // True if a job has failed on every machine that could take it.
  bool AllFailed(const model::JobSpec& spec, const std::set<std::string>& failed) const {
    return std::all_of(machines_.begin(), machines_.end(), [&](const fleet::Machine* m) {
      return !Allowed(spec, *m) || failed.contains(m->name);
    });
  }

  // By holder, whether it may place tasks of a job; empty: all may.
  std::vector<char> HoldersOpenTo(const jobs::Job& job) const {
    std::vector<char> open;
    if (scope_ == nullptr || scope_->only) return open;
    for (size_t i = 0; i < scope_->holders; ++i) {
      open.push_back(scope_->may_place(i, job) ? 1 : 0);
    }
    return open;
  }

  // Expected run time of a job's task on each machine, with the image's fetch where the machine
  // lacks it; negative where the task may not run. `failed`: machines that it failed on; null:
  // none.
  std::vector<double> RunTimes(const jobs::Job& job, const std::set<std::string>* failed) const {
    const model::JobSpec& spec = job.spec;
    std::map<const model::MachineType*, double> runs;
    for (const model::MachineType& f : context_.machine_types) runs[&f] = PredictRun(job, f.name);
    const auto image = registry_.ImageId(spec.image);
    const std::vector<char> open = HoldersOpenTo(job);
    std::vector<double> times;
    times.reserve(machines_.size());
    for (size_t i = 0; i < machines_.size(); ++i) {
      const fleet::Machine& m = *machines_[i];
      const bool closed = !open.empty() && open[holders_[i]] == 0;
      if (closed || !Allowed(spec, m) || (failed != nullptr && failed->contains(m.name))) {
        times.push_back(-1);
        continue;
      }
      const double rate = machine_types_[i]->fetch_gb_per_s;
      const bool there = image && *image < m.images.size() && m.images[*image];
      const double fetch = there || rate <= 0 ? 0 : spec.image_gb / rate;
      times.push_back(runs[machine_types_[i]] + fetch);
    }
    return times;
  }

  TaskClass ClassOf(const Waiter& w) {
    const model::JobSpec& spec = w.job->spec;
    TaskClass tc;
    tc.need = NeedOf(spec);
    tc.count = w.count;
    // Whole machines stay free for large tasks; what is urgent starts faster where little else
    // does.
    tc.pack = w.job->priority > model::Priority::kUrgent;
    tc.one_zone = spec.one_zone;
    const std::set<std::string>* failed = registry_.failures().FailedOn(spec.id);
    if (failed != nullptr && AllFailed(spec, *failed)) {
      // There is no machine that it has not failed on: it is retried there, but not at once.
      failed = nullptr;
      if (!w.retry) tc.count = registry_.failures().RetryDue(spec.id, now_) ? 1 : 0;
    }
    tc.run_s = RunTimes(*w.job, failed);
    if (!spec.one_zone && !spec.spread) return tc;
    std::map<std::string, size_t> by_zone;
    bool unclear = false;
    for (const auto& [number, task_group] : w.job->task_groups()) {
      for (const auto& [index, task] : task_group.open) {
        if (task.machine.empty()) continue;
        auto m = registry_.all().find(task.machine);
        if (m == registry_.all().end()) {
          unclear = true;
        } else {
          ++by_zone[m->second.zone];
        }
      }
    }
    // While a task is on a machine of which nothing is known, its zone is not known either.
    if (unclear || (spec.one_zone && by_zone.size() > 1)) tc.count = 0;
    if (spec.one_zone && by_zone.size() == 1) {
      tc.fixed_zone = static_cast<int>(ZoneIndex(by_zone.begin()->first));
    }
    if (spec.spread) {
      const size_t most = (spec.tasks + 1) / 2;
      tc.zone_room.assign(zones_.size(), most);
      for (const auto& [zone, n] : by_zone) {
        size_t z = ZoneIndex(zone);
        if (z < tc.zone_room.size()) tc.zone_room[z] -= std::min(n, most);
      }
    }
    return tc;
  }

  size_t PlanTier(size_t begin, size_t end, size_t limit) {
    std::vector<TaskClass> classes;
    for (size_t i = begin; i < end; ++i) classes.push_back(ClassOf(waiters_[i]));
    const Map map = Duplex(classes, slots_, limit);
    std::vector<size_t> started(classes.size(), 0), later(classes.size(), 0);
    std::vector<std::vector<Later>> laters(classes.size());
    std::vector<std::vector<uint32_t>> numbers(classes.size());
    for (const Assignment& a : map.assignments) {
      const Waiter& w = waiters_[begin + a.task_class];
      if (scope_ != nullptr) {
        result_.planned[holders_[a.machine]][w.job->spec.team] += NeedOf(w.job->spec);
      }
      if (a.start > kNow) {
        const bool coming = !machines_[a.machine]->has_reported();
        if (coming || a.start < kWorthRenting * machine_types_[a.machine]->boot_s)
          ++later[a.task_class];
        laters[a.task_class].push_back({a.start, a.start + a.run_s});
        continue;
      }
      auto& list = numbers[a.task_class];
      // Never more than the map holds: a job may have 100,000 tasks waiting.
      if (list.empty()) list = job_table_.WaitingTasks(*w.job, map.assignments.size());
      jobs::TaskTransition m;
      m.kind = jobs::TaskTransition::Kind::kPlace;
      m.task = {w.job->spec.id, list.at(started[a.task_class]++)};
      m.attempt = job_table_.NextAttempt(*w.job, m.task.index);
      m.machine = machines_[a.machine]->name;
      if (Retried(w, m.machine)) result_.retried_jobs.push_back(w.job->spec.id);
      result_.places.push_back(std::move(m));
    }
    for (size_t c = 0; c < classes.size(); ++c) {
      const Waiter& w = waiters_[begin + c];
      // A retry is worth neither a machine nor a stop of anything else.
      if (w.retry || OfOneHolder()) continue;
      const size_t unmet = w.count - started[c] - later[c];
      if (unmet > 0) AddWant(w, unmet);
      laters[c].resize(std::min(w.count - started[c], OldestTasks(*context_.settings)));
      Preempt(w, classes[c], std::move(laters[c]));
    }
    return map.assignments.size();
  }

  // True if a placement is a retry that the next ones are to be spaced from.
  bool Retried(const Waiter& w, const std::string& machine) const {
    const std::set<std::string>* failed = registry_.failures().FailedOn(w.job->spec.id);
    return w.retry || (failed != nullptr && failed->contains(machine));
  }

  void AddWant(const Waiter& w, size_t tasks) {
    auto demand = DemandFor(w.job->spec, tasks, context_.machine_types);
    if (demand) result_.demands.push_back(std::move(*demand));
  }

  // Machines for what no round could look at yet: as many as would be through with it by the time
  // that new ones are up, and never more than its tasks could use at once.
  void WantForRest(size_t begin) {
    double work = 0;
    for (size_t i = begin; i < waiters_.size(); ++i) {
      const model::JobSpec& spec = waiters_[i].job->spec;
      const double run = waiters_[i].job->MeanRun().value_or(spec.estimate_s);
      work += static_cast<double>(waiters_[i].count) * run * spec.cpus;
    }
    const double missing = MissingShare(work, total_cpus_, BootTime(context_));
    if (missing <= 0) return;
    for (size_t i = begin; i < waiters_.size(); ++i) {
      const double tasks = std::ceil(missing * static_cast<double>(waiters_[i].count));
      AddWant(waiters_[i], static_cast<size_t>(tasks));
    }
  }

  // What runs on a machine and could be stopped for somebody.
  struct Victim {
    model::TaskId task;
    uint64_t attempt = 0;
    const jobs::Job* job = nullptr;
    int tier = 0;
    double ran_s = 0;
    Room need;
    bool stopped = false;  // in this round
  };

  // Looked up once for all classes of a round that want room made.
  std::vector<Victim>& VictimsOn(size_t i) {
    if (victims_.empty()) {
      victims_.resize(machines_.size());
      for (size_t m = 0; m < machines_.size(); ++m) FindVictims(m);
    }
    return victims_[i];
  }

  void FindVictims(size_t i) {
    const fleet::Machine& m = *machines_[i];
    if (!registry_.Usable(m, now_)) return;
    for (const auto& [task, attempt] : job_table_.PlacementsOn(m.name)) {
      const jobs::Job* job = job_table_.Find(task.job);
      auto reported = m.reported_tasks.find(task);
      if (job == nullptr || reported == m.reported_tasks.end() ||
          reported->second.attempt != attempt ||
          reported->second.state != model::TaskPhase::kRunning ||
          registry_.Stopping(task, attempt)) {
        continue;
      }
      auto tier = tiers_.find(job);
      const int rank = tier == tiers_.end() ? std::numeric_limits<int>::max() : tier->second;
      // A new leader has not seen it start: it may have run for most of its time by then. Were it
      // taken for new, a takeover under load would stop what has run longest.
      const double unseen =
          reported->second.seen_start ? 0 : kUnseenRun * PredictRun(*job, m.machine_type);
      victims_[i].push_back(
          {task, attempt, job, rank, unseen + now_ - reported->second.since, NeedOf(job->spec)});
    }
  }

  bool MayStop(const Waiter& w, const Victim& v) const {
    // Who comes first in the order would get the room again, and be stopped again.
    if (v.tier <= w.tier / kBands) return false;
    if (v.job->priority > w.job->priority) return true;
    return order_.Overdue(*w.job, w.guaranteed) && v.job->spec.team != w.job->spec.team &&
           !guaranteed_.contains(v.job);
  }

  // Work that would be lost, in seconds.
  double Loss(const Victim& v, double grace) const {
    const model::JobSpec& spec = v.job->spec;
    if (spec.checkpoint_every_s <= 0) return v.ran_s;
    return grace > 0 ? spec.checkpoint_s : std::fmod(v.ran_s, spec.checkpoint_every_s);
  }

  // How long a task may still wait before others are stopped for it.
  double Patience(const Waiter& w) const {
    const model::JobSpec& spec = w.job->spec;
    const double soon = Reaction();
    if (w.job->priority > model::Priority::kUrgent) return BootTime(context_);
    const config::Objective* o = context_.settings->FindObjective("wait", spec.job_class);
    if (o == nullptr) return 2 * soon;
    return std::max(soon, o->within_s - std::max(0.0, wall_now_ - w.job->since) - soon);
  }

  struct Stop {
    Victim* victim = nullptr;
    double loss = 0;
    double grace_s = 0;
  };

  // Seconds of work that it costs to get a task room on a machine by stopping others, who are left
  // in `stops_`; nothing if it can't be had so. Takes the task's room off `room`.
  std::optional<double> Evict(const Waiter& w, const TaskClass& tc, size_t i, Room* room) {
    stops_.clear();
    if (tc.run_s[i] < 0) return std::nullopt;
    const bool latency_sensitive = context_.latency_sensitive.contains(w.job->spec.job_class);
    for (Victim& v : VictimsOn(i)) {
      if (v.stopped || !MayStop(w, v)) continue;
      const bool saves = v.job->spec.checkpoint_every_s > 0 && !latency_sensitive;
      const double grace = saves ? v.job->spec.checkpoint_s : 0;
      stops_.push_back({&v, Loss(v, grace), grace});
    }
    std::sort(stops_.begin(), stops_.end(),
              [](const Stop& a, const Stop& b) { return a.loss < b.loss; });
    double cost = 0;
    size_t n = 0;
    for (; n < stops_.size() && !room->Fits(tc.need); ++n) {
      *room += stops_[n].victim->need;
      cost += stops_[n].loss;
    }
    if (n == 0 || !room->Fits(tc.need)) return std::nullopt;
    stops_.resize(n);
    *room -= tc.need;
    return cost;
  }

  // When a task would be through that gets the room of `stops_`.
  double CompletionAfterStops(const TaskClass& tc, size_t i) const {
    double grace = 0;
    for (const Stop& s : stops_) grace = std::max(grace, s.grace_s);
    return grace + (kStopReactions + 1) * Reaction() + tc.run_s[i];
  }

  // Stops work of lower rank where that lets tasks start clearly sooner than waiting would.
  // `laters`: what the mapping gives the waiting tasks otherwise. Each machine is looked at once
  // for the class, and again only after it has given something up.
  void Preempt(const Waiter& w, const TaskClass& tc, std::vector<Later> laters) {
    // Only who comes first in the order keeps the room that is made.
    if (w.job->priority > model::Priority::kUrgent && !order_.Overdue(*w.job, w.guaranteed)) return;
    const double patience = Patience(w);
    std::erase_if(laters, [&](const Later& l) { return l.start <= patience; });
    if (laters.empty()) return;
    struct Offer {
      double cost;
      double completion;
      size_t machine;
      Room room;  // free before anybody is stopped
    };
    auto dearer = [](const Offer& a, const Offer& b) { return a.cost > b.cost; };
    std::vector<Offer> offers;
    auto offer = [&](size_t i, const Room& room) {
      Room left = room;
      const std::optional<double> cost = Evict(w, tc, i, &left);
      if (cost) offers.push_back({*cost, CompletionAfterStops(tc, i), i, room});
      return cost.has_value();
    };
    for (size_t i = 0; i < machines_.size(); ++i) offer(i, slots_[i].timeline.now());
    std::make_heap(offers.begin(), offers.end(), dearer);
    // Who would wait longest first.
    std::sort(laters.begin(), laters.end(),
              [](const Later& a, const Later& b) { return a.completion > b.completion; });
    for (const Later& later : laters) {
      // Compared by completion, as the mapping does: else the task would wait for another slot
      // even so, what was stopped would start again in the room made, and be stopped again.
      while (!offers.empty() && offers.front().completion > later.completion) {
        std::pop_heap(offers.begin(), offers.end(), dearer);
        offers.pop_back();
      }
      if (offers.empty()) return;
      std::pop_heap(offers.begin(), offers.end(), dearer);
      Offer taken = offers.back();
      offers.pop_back();
      Evict(w, tc, taken.machine, &taken.room);
      for (const Stop& s : stops_) {
        s.victim->stopped = true;
        result_.preemptions.push_back({s.victim->task, s.victim->attempt,
                                       machines_[taken.machine]->name, s.grace_s, w.job->spec.id});
      }
      if (offer(taken.machine, taken.room)) std::push_heap(offers.begin(), offers.end(), dearer);
    }
  }

  Context& context_;
  const jobs::JobTable& job_table_;
  const fleet::WorkerRegistry& registry_;
  const double now_;
  const double wall_now_;
  const Scope* const scope_;  // null: all machines
  const JobOrder order_;
  std::vector<const jobs::Job*> jobs_;
  std::set<const jobs::Job*> guaranteed_;
  std::vector<Waiter> waiters_;
  std::map<std::string, size_t> zones_;
  std::vector<const fleet::Machine*> machines_;
  std::vector<const model::MachineType*> machine_types_;  // of machines_
  std::vector<size_t> holders_;                           // of machines_; with a scope
  std::vector<Slots> slots_;
  std::unordered_map<const jobs::Job*, int> tiers_;
  std::vector<std::vector<Victim>> victims_;  // by machine; empty until somebody asks
  std::vector<Stop> stops_;                   // of the last Evict()
  std::map<std::string, Room> ended_;         // by team: recorded as placed, reported as done
  double total_cpus_ = 0;
  double starved_cpus_ = 0;    // of work that has waited beyond the bound, oldest first
  double suspected_cpus_ = 0;  // of retries, this round's and those that run
  size_t retries_ = 0;         // that this round may start
  RoundResult result_;
};

}  // namespace

const model::MachineType* Context::FindMachineType(const std::string& name) const {
  return model::FindMachineType(machine_types, name);
}

size_t OldestTasks(const config::Settings& settings) {
  constexpr size_t kLeast = 500;
  return std::max(kLeast, store::TasksPerTextGroup(settings.value_kb) *
                              static_cast<size_t>(std::max(settings.txn_ops, 1)));
}

double PredictRun(const jobs::Job& job, const std::string& machine_type) {
  constexpr double kUntilCancelled = 1e5;
  if (job.spec.kind == model::JobKind::kService) return kUntilCancelled;
  if (auto mean = job.MeanRun(machine_type)) return *mean;
  if (auto mean = job.MeanRun()) return *mean;
  return job.spec.estimate_s;
}

RoundResult PlanRound(Context& context, const jobs::JobTable& job_table,
                      const fleet::WorkerRegistry& registry, double now, double wall_now,
                      const Scope* scope) {
  return Round(context, job_table, registry, now, wall_now, scope).Run();
}

bool CouldRun(const model::JobSpec& spec, const fleet::Machine& machine,
              const model::MachineType& machine_type) {
  return Allowed(spec, machine) &&
         Room{machine_type.cpus, machine_type.gpus, machine_type.memory_gb}.Fits(NeedOf(spec));
}

}  // namespace hallpier::plan
