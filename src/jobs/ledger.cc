#include "jobs/ledger.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace hallpier::jobs {

void Job::Count(const store::Shard& shard, bool add) {
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

void Job::SetShard(uint32_t number, std::optional<store::Shard> shard) {
  if (auto old = shards_.find(number); old != shards_.end()) {
    Count(old->second, false);
    shards_.erase(old);
  }
  if (!shard) return;
  Count(*shard, true);
  shards_[number] = std::move(*shard);
}

void Job::SetShards(std::map<uint32_t, store::Shard> shards) {
  for (auto& [number, shard] : shards) SetShard(number, std::move(shard));
}

std::map<uint32_t, store::Shard> Job::TakeShards() {
  for (const auto& [number, shard] : shards_) Count(shard, false);
  return std::exchange(shards_, {});
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

std::optional<double> Job::MeanRun(const std::string& flavor) const {
  auto it = runs_.find(flavor);
  if (it == runs_.end() || it->second.count == 0) return std::nullopt;
  return it->second.sum_s / static_cast<double>(it->second.count);
}

std::optional<double> Job::MeanRun() const {
  if (all_runs_.count == 0) return std::nullopt;
  return all_runs_.sum_s / static_cast<double>(all_runs_.count);
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
  if (key.kind == store::KeyKind::kJob) {
    if (value.empty()) {
      auto it = jobs_.find(key.job);
      if (it == jobs_.end()) return;
      auto left = it->second.TakeShards();
      if (!left.empty()) orphans_[key.job] = std::move(left);
      jobs_.erase(it);
      return;
    }
    auto record = store::ReadJob(value);
    if (!record) {
      spdlog::error("state: job record {} can't be read; it is left as it is", key.job);
      return;
    }
    Job& job = jobs_[key.job];
    job.spec = std::move(record->spec);
    job.submitted = record->submitted;
    job.cancelled = record->cancelled;
    if (auto it = orphans_.find(key.job); it != orphans_.end()) {
      job.SetShards(std::move(it->second));
      orphans_.erase(it);
    }
    return;
  }
  if (key.kind != store::KeyKind::kShard) return;
  std::optional<store::Shard> shard;
  if (!value.empty()) {
    shard = store::ReadShard(value);
    if (!shard) {
      spdlog::error("state: tasks {}/{} can't be read; they are left as they are", key.job,
                    key.shard);
      return;
    }
  }
  auto job = jobs_.find(key.job);
  auto lost = orphans_.find(key.job);
  const std::map<uint32_t, store::Shard>* shards = nullptr;
  if (job != jobs_.end()) {
    shards = &job->second.shards();
  } else if (lost != orphans_.end()) {
    shards = &lost->second;
  }
  const store::Shard* before = nullptr;
  if (shards != nullptr) {
    if (auto old = shards->find(key.shard); old != shards->end()) before = &old->second;
  }
  Index(key.job, before, shard ? &*shard : nullptr);
  if (job != jobs_.end()) {
    job->second.SetShard(key.shard, std::move(shard));
  } else if (shard) {
    orphans_[key.job][key.shard] = std::move(*shard);
  } else if (lost != orphans_.end()) {
    lost->second.erase(key.shard);
    if (lost->second.empty()) orphans_.erase(lost);
  }
}

std::vector<uint32_t> Ledger::Waiting(const Job& job, size_t limit) const {
  std::vector<uint32_t> out;
  const uint32_t count = Shards(job);
  for (uint32_t s = 0; s < count && out.size() < limit; ++s) {
    auto it = job.shards().find(s);
    const uint32_t end = std::min(job.spec.tasks, (s + 1) * tasks_per_shard_);
    for (uint32_t i = s * tasks_per_shard_; i < end && out.size() < limit; ++i) {
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
  auto it = job.shards().find(ShardOf(index));
  if (it == job.shards().end()) return 1;
  auto open = it->second.open.find(index);
  return open == it->second.open.end() ? 1 : open->second.attempt + 1;
}

bool Ledger::Change(const Job& job, const Mutation& m, store::Shard* shard) const {
  const uint32_t i = m.task.index;
  auto open = shard->open.find(i);
  const bool ours = open != shard->open.end() && open->second.machine == m.machine &&
                    open->second.attempt == m.attempt;
  switch (m.kind) {
    case Mutation::Kind::kPlace: {
      if (job.cancelled || i >= job.spec.tasks || shard->done.Contains(i)) return false;
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

std::vector<std::string> Ledger::Orphans() const {
  std::vector<std::string> out;
  for (const auto& [job, shards] : orphans_) {
    for (const auto& [number, shard] : shards) out.push_back(store::ShardKey(job, number));
  }
  return out;
}

}  // namespace hallpier::jobs
