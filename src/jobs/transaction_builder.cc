#include "jobs/transaction_builder.h"

#include <algorithm>
#include <map>
#include <set>

#include "model/job.h"
#include "store/packed_task_group.h"

namespace hallpier::jobs {
namespace {

// The service takes 64 KiB; names, stamps and brackets come on top of the values.
constexpr size_t kMaxTxnBytes = size_t{48} * 1024;
constexpr size_t kPreconditionsPerWrite = 4;

struct Changed {
  const Job* job = nullptr;
  std::map<uint32_t, store::TaskGroup> task_groups;
  // By shard: task and machine of new placements.
  std::map<uint32_t, std::vector<std::pair<uint32_t, std::string>>> places;
  std::map<uint32_t, WritePriority> ranks;
};

struct Unit {
  std::vector<model::Precondition> preconditions;
  std::vector<model::KeyWrite> writes;
  std::vector<std::string> machines;
  WritePriority rank = WritePriority::kOutcome;
};

size_t Bytes(const std::vector<model::KeyWrite>& writes) {
  size_t n = 0;
  for (const auto& w : writes) n += w.key.size() + w.value.size() + 64;
  return n;
}

// What a job's shards will hold once `changed` is written.
template <class F>
uint32_t Sum(const Job& job, const Changed& changed, F count) {
  uint32_t n = 0;
  for (const auto& [number, task_group] : job.task_groups()) {
    if (!changed.task_groups.contains(number)) n += count(task_group);
  }
  for (const auto& [number, task_group] : changed.task_groups) n += count(task_group);
  return n;
}

WritePriority WritePriorityOf(const Job& job, const TaskTransition& m,
                              const TransactionLimits& limits) {
  switch (m.kind) {
    case TaskTransition::Kind::kPlace:
      return job.priority <= model::Priority::kUrgent ? WritePriority::kUrgentStart
                                                      : WritePriority::kStart;
    case TaskTransition::Kind::kRequeue:
      return job.cancelled ? WritePriority::kEnd : WritePriority::kStart;
    case TaskTransition::Kind::kDone:
      return m.age_s >= limits.patience_s ? WritePriority::kStart : WritePriority::kOutcome;
  }
  return WritePriority::kOutcome;
}

class Builder {
 public:
  Builder(const JobTable& job_table, const TransactionLimits& limits, const VersionLookup& version)
      : job_table_(job_table), limits_(limits), stamp_(version) {}

  void AddJob(const std::string& id, const Changed& changed) {
    const Job& job = *changed.job;
    const Ending ending = EndingOf(changed);
    if (ending != Ending::kNone) {
      const WritePriority rank = job.cancelled ? CancelWritePriority(id, job) : WritePriority::kEnd;
      if (AddFinal(id, changed, ending, rank)) return;
    }
    for (const auto& [number, task_group] : changed.task_groups) {
      Unit u;
      const std::string key = job.groups.KeyOf(id, number);
      std::vector<std::pair<uint32_t, std::string>> places;
      if (auto it = changed.places.find(number); it != changed.places.end()) places = it->second;
      std::string value = Write(job, number, task_group);
      if (limits_.value_bytes > 0 && value.size() > limits_.value_bytes && !places.empty()) {
        value = Trim(job, number, task_group, &places);
      }
      u.preconditions = {Guard(store::JobKey(id)), Guard(key)};
      // What a part is carried over from must not have changed meanwhile.
      for (const std::string& stored : job.groups.StoredKeys(id, number)) {
        if (stored != key && !job.groups.PartStored(number))
          u.preconditions.push_back(Guard(stored));
      }
      u.writes = {{key, std::move(value), 0}};
      if (limits_.others_place && !places.empty() && ZonesDepend(job)) {
        u.writes.push_back({store::JobKey(id), store::WriteJob(*job_table_.Record(id)), 0});
      }
      for (auto& [index, machine] : places) u.machines.push_back(std::move(machine));
      u.rank = changed.ranks.at(number);
      units_.push_back(std::move(u));
    }
  }

  // Jobs that end by cancellation, those first that no other unfinished one awaits.
  std::vector<std::string> InCancelOrder(const std::vector<std::string>& jobs,
                                         const std::map<std::string, Changed>& by_job) {
    std::map<std::string, size_t> waits;  // how many jobs must become final before
    std::vector<std::string> out;
    for (const std::string& id : jobs) {
      const Changed& changed = by_job.at(id);
      if (!changed.job->cancelled || EndingOf(changed) == Ending::kNone) continue;
      const size_t n = job_table_.dependency_graph().Dependents(id).size();
      waits[id] = n;
      if (n == 0) out.push_back(id);
    }
    for (size_t i = 0; i < out.size(); ++i) {
      for (const std::string& a : job_table_.Find(out[i])->spec.awaits) {
        auto it = waits.find(a);
        if (it != waits.end() && --it->second == 0) out.push_back(a);
      }
    }
    // Whoever has a dependent that can't end yet stays as it is.
    for (const auto& [id, left] : waits) {
      if (left > 0) held_back_.insert(id);
    }
    return out;
  }

  void AddDrop(const std::string& key) {
    Unit u;
    u.preconditions = {Guard(key)};
    u.writes = {{key, "", 0}};
    u.rank = WritePriority::kTidy;
    units_.push_back(std::move(u));
  }

  std::vector<Transaction> Pack() {
    std::stable_sort(units_.begin(), units_.end(),
                     [](const Unit& a, const Unit& b) { return a.rank < b.rank; });
    std::vector<Transaction> out;
    size_t bytes = 0;
    bool closed = false;
    for (Unit& u : units_) {
      const size_t more = Bytes(u.writes);
      const bool alone = limits_.alone != nullptr && limits_.alone->contains(u.writes[0].key);
      const auto ops = static_cast<size_t>(limits_.ops);
      if (out.empty() || closed || alone || out.back().writes.size() + u.writes.size() > ops ||
          out.back().preconditions.size() + u.preconditions.size() > kPreconditionsPerWrite * ops ||
          bytes + more > kMaxTxnBytes) {
        out.emplace_back();
        out.back().preconditions = limits_.preconditions;
        out.back().rank = u.rank;
        bytes = 0;
      }
      closed = alone;
      Transaction& t = out.back();
      bytes += more;
      for (auto& g : u.preconditions) {
        const bool known =
            std::any_of(t.preconditions.begin(), t.preconditions.end(),
                        [&](const model::Precondition& o) { return o.key == g.key; });
        if (!known) t.preconditions.push_back(std::move(g));
      }
      for (auto& w : u.writes) {
        const bool known = std::any_of(t.writes.begin(), t.writes.end(),
                                       [&](const model::KeyWrite& o) { return o.key == w.key; });
        if (!known) t.writes.push_back(std::move(w));
      }
      for (auto& m : u.machines) t.machines.push_back(std::move(m));
    }
    return out;
  }

 private:
  enum class Ending { kNone, kDone, kCancelled };

  // True if the zone of a task depends on those of tasks in other groups, which other guards cover.
  static bool ZonesDepend(const Job& job) {
    return (job.spec.one_zone || job.spec.spread) && job.spec.tasks > job.groups.layout().End(0);
  }

  Ending EndingOf(const Changed& changed) const {
    const Job& job = *changed.job;
    if (job.cancelled) {
      const uint32_t placed =
          Sum(job, changed, [](const store::TaskGroup& s) { return s.placed(); });
      return placed == 0 ? Ending::kCancelled : Ending::kNone;
    }
    const uint32_t done =
        Sum(job, changed, [](const store::TaskGroup& s) { return s.done.size(); });
    return done == job.spec.tasks ? Ending::kDone : Ending::kNone;
  }

  // What is cancelled for the sake of another, and never ran, is in nobody's way: every node says
  // so already, and thousands of such records must not keep starts and other ends from the budget.
  // Whoever it awaits can't go before it.
  WritePriority CancelWritePriority(const std::string& id, const Job& job) const {
    const bool awaited = !job_table_.dependency_graph().Dependents(id).empty();
    return awaited || job.blocked ? WritePriority::kTidy : WritePriority::kEnd;
  }

  model::Precondition Guard(const std::string& key) const { return {key, stamp_(key)}; }

  std::string Write(const Job& job, uint32_t number, const store::TaskGroup& task_group) const {
    if (!limits_.packed) return store::WriteTaskGroup(task_group);
    const store::Layout& layout = job.groups.layout();
    const uint32_t first = layout.First(number);
    return store::WritePacked(task_group, first,
                              std::min(layout.End(number), job.spec.tasks) - first);
  }

  // Takes back placements until the value is no longer too large; they wait for others to end.
  std::string Trim(const Job& job, uint32_t number, store::TaskGroup task_group,
                   std::vector<std::pair<uint32_t, std::string>>* places) const {
    auto before = job.task_groups().find(number);
    std::string value;
    do {
      const size_t keep = places->size() / 2;
      for (size_t i = keep; i < places->size(); ++i) {
        const uint32_t index = (*places)[i].first;
        task_group.open.erase(index);
        if (before == job.task_groups().end()) continue;
        if (auto old = before->second.open.find(index); old != before->second.open.end()) {
          task_group.open.insert(*old);
        }
      }
      places->resize(keep);
      value = Write(job, number, task_group);
    } while (value.size() > limits_.value_bytes && !places->empty());
    return value;
  }

  // False if it can't be done in one transaction, or not yet.
  bool AddFinal(const std::string& id, const Changed& changed, Ending ending, WritePriority rank) {
    if (held_back_.contains(id)) return false;
    const Job& job = *changed.job;
    const size_t room = static_cast<size_t>(limits_.ops) - 2;
    // The changed groups must go with it; what has no room is dropped later, as left over.
    std::vector<std::string> drop;
    for (const auto& [number, task_group] : changed.task_groups) {
      for (auto& key : job.groups.StoredKeys(id, number)) {
        if (std::find(drop.begin(), drop.end(), key) == drop.end()) drop.push_back(std::move(key));
      }
    }
    if (drop.size() > room) return false;
    for (auto& key : job.groups.StoredKeys(id)) {
      if (drop.size() >= room) break;
      if (std::find(drop.begin(), drop.end(), key) == drop.end()) drop.push_back(std::move(key));
    }
    const uint32_t done =
        Sum(job, changed, [](const store::TaskGroup& s) { return s.done.size(); });
    store::FinalRecord record;
    record.phase = ending == Ending::kDone ? model::JobPhase::kDone : model::JobPhase::kCancelled;
    record.done = done;
    if (limits_.packed) record.at = limits_.time_of_day;
    Unit u;
    u.rank = rank;
    const std::string job_key = store::JobKey(id);
    u.preconditions.push_back(Guard(job_key));
    u.writes.push_back({store::FinalKey(id), store::WriteFinal(record), 0});
    u.writes.push_back({job_key, "", 0});
    for (const std::string& key : drop) {
      u.preconditions.push_back(Guard(key));
      u.writes.push_back({key, "", 0});
    }
    units_.push_back(std::move(u));
    return true;
  }

  const JobTable& job_table_;
  const TransactionLimits& limits_;
  const VersionLookup& stamp_;
  std::set<std::string> held_back_;  // cancelled, but awaited by what can't end yet
  std::vector<Unit> units_;
};

}  // namespace

std::vector<Transaction> BuildTransactions(const JobTable& job_table,
                                           const std::vector<TaskTransition>& transitions,
                                           const TransactionLimits& limits,
                                           const VersionLookup& version) {
  std::map<std::string, Changed> by_job;
  std::vector<std::string> order;
  for (const TaskTransition& m : transitions) {
    const Job* job = job_table.Find(m.task.job);
    if (job == nullptr) continue;
    auto [it, fresh] = by_job.try_emplace(m.task.job);
    Changed& c = it->second;
    if (fresh) {
      c.job = job;
      order.push_back(m.task.job);
    }
    const uint32_t number = job->groups.layout().GroupOf(m.task.index);
    auto [task_group, untouched] = c.task_groups.try_emplace(number);
    if (untouched) {
      if (auto old = job->task_groups().find(number); old != job->task_groups().end()) {
        task_group->second = old->second;
      }
    }
    if (!job_table.Change(*job, m, &task_group->second)) {
      if (untouched) c.task_groups.erase(task_group);
      continue;
    }
    if (m.kind == TaskTransition::Kind::kPlace)
      c.places[number].emplace_back(m.task.index, m.machine);
    const WritePriority rank = WritePriorityOf(*job, m, limits);
    auto [known, first] = c.ranks.try_emplace(number, rank);
    if (!first) known->second = std::min(known->second, rank);
  }
  // Jobs that are over without a change of this round: cancelled before anything was placed, or
  // with more shards than one transaction could take at once.
  for (const auto& [id, job] : job_table.all()) {
    if (limits.placements_only) break;
    const bool over = job.cancelled ? job.placed() == 0 : job.done() == job.spec.tasks;
    if (!over || by_job.contains(id)) continue;
    by_job[id].job = &job;
    order.push_back(id);
  }
  Builder builder(job_table, limits, version);
  const std::vector<std::string> ending = builder.InCancelOrder(order, by_job);
  const std::set<std::string> known(ending.begin(), ending.end());
  for (const auto& id : order) {
    if (!known.contains(id)) builder.AddJob(id, by_job[id]);
  }
  for (const auto& id : ending) builder.AddJob(id, by_job[id]);
  if (limits.placements_only) return builder.Pack();
  for (const auto& key : job_table.Leftovers()) builder.AddDrop(key);
  return builder.Pack();
}

}  // namespace hallpier::jobs
