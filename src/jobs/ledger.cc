#include "jobs/ledger.h"

#include <spdlog/spdlog.h>

#include <iterator>
#include <utility>

namespace hallpier::jobs {

void Groups::Count(const store::Shard& shard, bool add) {
  // Unsigned sums wrap and come back: what is taken off was added before.
  const uint32_t done = shard.done.size(), placed = shard.placed();
  done_ += add ? done : -done;
  placed_ += add ? placed : -placed;
  for (const auto& [flavor, stats] : shard.runs) {
    for (store::RunStats* sum : {&runs_[flavor], &all_runs_}) {
      sum->count += add ? stats.count : -stats.count;
      sum->sum_s += add ? stats.sum_s : -stats.sum_s;
    }
  }
}

void Groups::Set(uint32_t number, std::optional<store::Shard> group) {
  if (auto old = groups_.find(number); old != groups_.end()) {
    Count(old->second, false);
    groups_.erase(old);
  }
  if (!group) return;
  Count(*group, true);
  groups_[number] = std::move(*group);
}

void Groups::Divide(store::Layout layout) {
  if (layout == layout_) return;
  // By the tasks themselves: groups that came before their job's record were numbered on a guess.
  store::Shard all;
  for (auto& [number, group] : std::exchange(groups_, {})) {
    Count(group, false);
    for (const auto& [first, last] : group.done.ranges()) {
      for (uint32_t i = first; i <= last; ++i) all.done.Insert(i);
    }
    all.open.insert(group.open.begin(), group.open.end());
    for (const auto& [flavor, stats] : group.runs) {
      all.runs[flavor].count += stats.count;
      all.runs[flavor].sum_s += stats.sum_s;
    }
  }
  layout_ = layout;
  uint32_t end = all.open.empty() ? 0 : all.open.rbegin()->first + 1;
  if (!all.done.ranges().empty()) end = std::max(end, all.done.ranges().rbegin()->second + 1);
  for (uint32_t n = 0; layout.First(n) < end; ++n) {
    store::Shard part = Slice(all, layout.First(n), layout.End(n), n == 0);
    if (!part.empty()) Set(n, std::move(part));
  }
}

void Groups::SetStored(const store::ParsedKey& key, bool there) {
  std::set<uint32_t>& keys = key.part ? parts_ : wholes_;
  const uint32_t number = key.part ? key.shard * layout_.parts + *key.part : key.shard;
  if (there) {
    keys.insert(number);
  } else {
    keys.erase(number);
  }
}

std::string Groups::KeyOf(const std::string& id, uint32_t number) const {
  if (layout_.parts == 1) return store::ShardKey(id, number);
  return store::PartKey(id, number / layout_.parts, number % layout_.parts);
}

std::vector<std::string> Groups::StoredKeys(const std::string& id, uint32_t number) const {
  std::vector<std::string> out;
  const uint32_t whole = number / layout_.parts;
  if (wholes_.contains(whole)) out.push_back(store::ShardKey(id, whole));
  if (parts_.contains(number)) out.push_back(KeyOf(id, number));
  return out;
}

std::vector<std::string> Groups::StoredKeys(const std::string& id) const {
  std::vector<std::string> out;
  for (uint32_t whole : wholes_) out.push_back(store::ShardKey(id, whole));
  for (uint32_t number : parts_) out.push_back(KeyOf(id, number));
  return out;
}

std::vector<std::string> Groups::Superseded(const std::string& id) const {
  std::vector<std::string> out;
  if (parts_.empty()) return out;
  for (uint32_t whole : wholes_) {
    bool needed = false;
    for (uint32_t p = 0; p < layout_.parts; ++p) {
      const uint32_t number = whole * layout_.parts + p;
      needed = needed || (groups_.contains(number) && !parts_.contains(number));
    }
    if (!needed) out.push_back(store::ShardKey(id, whole));
  }
  return out;
}

wire::JobStatus Job::Status() const {
  wire::JobStatus s;
  s.id = spec.id;
  s.done = done();
  s.running = placed();
  s.phase = cancelled        ? wire::Phase::kCancelled
            : s.running != 0 ? wire::Phase::kRunning
                             : wire::Phase::kPending;
  return s;
}

const store::TaskState* Job::FindOpen(uint32_t index) const {
  auto group = shards().find(groups.layout().GroupOf(index));
  if (group == shards().end()) return nullptr;
  auto open = group->second.open.find(index);
  return open == group->second.open.end() ? nullptr : &open->second;
}

std::optional<double> Job::MeanRun(const std::string& flavor) const {
  auto it = groups.runs().find(flavor);
  if (it == groups.runs().end() || it->second.count == 0) return std::nullopt;
  return it->second.sum_s / static_cast<double>(it->second.count);
}

std::optional<double> Job::MeanRun() const {
  const store::RunStats& all = groups.all_runs();
  if (all.count == 0) return std::nullopt;
  return all.sum_s / static_cast<double>(all.count);
}

const Job* Ledger::Find(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const Ledger::Placements& Ledger::On(const std::string& machine) const {
  static const Placements kNone;
  auto it = by_machine_.find(machine);
  return it == by_machine_.end() ? kNone : it->second;
}

void Ledger::Unplace(const std::string& job, uint32_t index, const std::string& machine) {
  auto it = by_machine_.find(machine);
  if (it == by_machine_.end()) return;
  it->second.erase({job, index});
  if (it->second.empty()) by_machine_.erase(it);
}

void Ledger::Index(const std::string& job, const store::Shard* before, const store::Shard* after) {
  // A change moves few of a group's tasks: only these are taken out and put in.
  static const std::map<uint32_t, store::TaskState> kNone;
  const auto& old = before == nullptr ? kNone : before->open;
  const auto& now = after == nullptr ? kNone : after->open;
  auto o = old.begin();
  auto n = now.begin();
  while (o != old.end() || n != now.end()) {
    const bool left = n == now.end() || (o != old.end() && o->first < n->first);
    const bool came = !left && (o == old.end() || n->first < o->first);
    const bool moved = !left && !came && !(o->second == n->second);
    if ((left || moved) && !o->second.machine.empty()) Unplace(job, o->first, o->second.machine);
    if ((came || moved) && !n->second.machine.empty()) {
      by_machine_[n->second.machine][{job, n->first}] = n->second.attempt;
    }
    if (!came) ++o;
    if (!left) ++n;
  }
}

void Ledger::Apply(const store::ParsedKey& key, const std::string& value) {
  switch (key.kind) {
    case store::KeyKind::kFormat:
      // It is never dropped, and what it says of the layout never changes.
      if (auto record = store::ReadFormat(value)) SetCommonLayout(record->layout);
      break;
    case store::KeyKind::kJob:
      ApplyJob(key.job, value);
      UpdateViews();
      break;
    case store::KeyKind::kShard:
      ApplyShard(key, value);
      break;
    default:
      break;
  }
}

void Ledger::RecordFinal(const std::string& id, const store::FinalRecord& r) {
  pipelines_.RecordFinal(id, r);
  UpdateViews();
}

void Ledger::UpdateViews() {
  for (const std::string& id : pipelines_.TakeTouched()) {
    const Pipelines::View* view = pipelines_.Find(id);
    auto it = jobs_.find(id);
    if (view == nullptr || it == jobs_.end()) continue;
    Job& job = it->second;
    job.cancelled = view->cancelled;
    job.held = view->held;
    job.since = view->since;
    job.priority = view->priority;
    job.due = view->due;
  }
}

void Ledger::SetCommonLayout(const store::Layout& layout) {
  if (layout == common_) return;
  common_ = layout;
  for (auto& [id, job] : jobs_) {
    if (job.common_layout) job.groups.Divide(layout);
  }
  for (auto& [id, groups] : orphans_) groups.Divide(layout);
}

void Ledger::ApplyJob(const std::string& id, const std::string& value) {
  auto it = jobs_.find(id);
  if (value.empty()) {
    if (it == jobs_.end()) return;
    pipelines_.Drop(id);
    if (!it->second.groups.StoredKeys(id).empty()) {
      orphans_.insert_or_assign(id, std::move(it->second.groups));
    }
    jobs_.erase(it);
    return;
  }
  auto record = store::ReadJob(value);
  if (!record || record->spec.id != id) {
    spdlog::error("state: job record {} can't be read; it is left as it is", id);
    return;
  }
  if (it == jobs_.end()) {
    const store::Layout layout = record->group > 0 ? store::Layout{record->group, 1} : common_;
    Groups groups(layout);
    if (auto lost = orphans_.find(id); lost != orphans_.end()) {
      groups = std::move(lost->second);
      groups.Divide(layout);
      orphans_.erase(lost);
    }
    it = jobs_.emplace(id, Job(std::move(groups))).first;
    it->second.common_layout = record->group == 0;
  }
  pipelines_.Put(*record);
  it->second.spec = std::move(record->spec);
  it->second.submitted = record->submitted;
}

void Ledger::SetGroup(const std::string& id, Groups& groups, uint32_t number,
                      std::optional<store::Shard> group) {
  auto old = groups.all().find(number);
  Index(id, old == groups.all().end() ? nullptr : &old->second, group ? &*group : nullptr);
  groups.Set(number, std::move(group));
}

void Ledger::ApplyShard(const store::ParsedKey& key, const std::string& value) {
  std::optional<store::Shard> shard;
  if (!value.empty()) {
    shard = store::ReadShard(value);
    if (!shard) {
      spdlog::error("state: tasks {}/{} can't be read; they are left as they are", key.job,
                    key.shard);
      return;
    }
  }
  Groups* groups = nullptr;
  if (auto job = jobs_.find(key.job); job != jobs_.end()) {
    groups = &job->second.groups;
  } else if (auto lost = orphans_.find(key.job); lost != orphans_.end()) {
    groups = &lost->second;
  } else if (shard) {
    groups = &orphans_.emplace(key.job, Groups(common_)).first->second;
  } else {
    return;
  }
  const store::Layout& layout = groups->layout();
  const uint32_t parts = layout.parts;
  if (key.part && *key.part >= parts) return;  // of no layout that was ever recorded
  groups->SetStored(key, shard.has_value());
  if (key.part || parts == 1) {
    SetGroup(key.job, *groups, key.part ? key.shard * parts + *key.part : key.shard,
             std::move(shard));
  } else {
    for (uint32_t p = 0; p < parts; ++p) {
      const uint32_t number = key.shard * parts + p;
      if (groups->PartStored(number)) continue;
      std::optional<store::Shard> part;
      if (shard) part = Slice(*shard, layout.First(number), layout.End(number), p == 0);
      if (part && part->empty()) part.reset();
      SetGroup(key.job, *groups, number, std::move(part));
    }
  }
  if (auto lost = orphans_.find(key.job);
      lost != orphans_.end() && lost->second.StoredKeys(key.job).empty()) {
    orphans_.erase(lost);
  }
}

std::vector<uint32_t> Ledger::Waiting(const Job& job, size_t limit) const {
  std::vector<uint32_t> out;
  const store::Layout& layout = job.groups.layout();
  for (uint32_t g = 0; layout.First(g) < job.spec.tasks && out.size() < limit; ++g) {
    auto it = job.shards().find(g);
    const uint32_t end = std::min(job.spec.tasks, layout.End(g));
    for (uint32_t i = layout.First(g); i < end && out.size() < limit; ++i) {
      if (it != job.shards().end()) {
        if (it->second.done.Contains(i)) continue;
        auto open = it->second.open.find(i);
        if (open != it->second.open.end() && !open->second.machine.empty()) continue;
      }
      out.push_back(i);
    }
  }
  return out;
}

uint64_t Ledger::NextAttempt(const Job& job, uint32_t index) const {
  const store::TaskState* open = job.FindOpen(index);
  return open == nullptr ? 1 : open->attempt + 1;
}

bool Ledger::Change(const Job& job, const Mutation& m, store::Shard* shard) const {
  const uint32_t i = m.task.index;
  auto open = shard->open.find(i);
  const bool ours = open != shard->open.end() && open->second.machine == m.machine &&
                    open->second.attempt == m.attempt;
  switch (m.kind) {
    case Mutation::Kind::kPlace: {
      // Whoever asked for it: nothing starts before all awaited jobs are recorded as done.
      if (job.cancelled || job.held || i >= job.spec.tasks || shard->done.Contains(i)) return false;
      const bool waits = open == shard->open.end() || open->second.machine.empty();
      const uint64_t last = open == shard->open.end() ? 0 : open->second.attempt;
      if (!waits || m.attempt != last + 1) return false;
      shard->open[i] = {m.attempt, m.machine};
      return true;
    }
    case Mutation::Kind::kRequeue:
      if (!ours) return false;
      open->second.machine.clear();
      return true;
    case Mutation::Kind::kDone:
      if (!ours) return false;
      shard->open.erase(open);
      shard->done.Insert(i);
      if (m.run_s > 0) {
        auto& stats = shard->runs[m.flavor];
        ++stats.count;
        stats.sum_s += m.run_s;
      }
      return true;
  }
  return false;
}

std::optional<store::JobRecord> Ledger::Record(const std::string& id) const {
  const Job* job = Find(id);
  if (job == nullptr) return std::nullopt;
  return store::JobRecord{job->spec, job->submitted, pipelines_.CancelledItself(id),
                          job->common_layout ? 0 : job->groups.layout().whole};
}

std::optional<store::JobRecord> Ledger::CancelledRecord(const std::string& id) const {
  std::optional<store::JobRecord> record = Record(id);
  if (!record || record->cancelled) return std::nullopt;
  record->cancelled = true;
  return record;
}

std::vector<std::string> Ledger::CancelledJobs() const {
  std::vector<std::string> out;
  for (const auto& [id, job] : jobs_) {
    if (pipelines_.CancelledItself(id)) out.push_back(id);
  }
  return out;
}

std::vector<std::string> Ledger::Leftovers() const {
  std::vector<std::string> out;
  auto add = [&out](std::vector<std::string> keys) {
    std::move(keys.begin(), keys.end(), std::back_inserter(out));
  };
  for (const auto& [id, groups] : orphans_) add(groups.StoredKeys(id));
  if (common_.parts == 1) return out;
  for (const auto& [id, job] : jobs_) add(job.groups.Superseded(id));
  return out;
}

}  // namespace hallpier::jobs
