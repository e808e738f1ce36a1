// All unfinished jobs and placements as the state service has them. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/schema.h"
#include "wire/messages.h"

namespace hallpier::jobs {

struct Job {
  wire::JobSpec spec;
  double submitted = 0;
  bool cancelled = false;

  const std::map<uint32_t, store::Shard>& shards() const { return shards_; }
  void SetShards(std::map<uint32_t, store::Shard> shards);
  // Nothing: the group is dropped.
  void SetShard(uint32_t number, std::optional<store::Shard> shard);
  std::map<uint32_t, store::Shard> TakeShards();

  uint32_t done() const { return done_; }
  uint32_t placed() const { return placed_; }
  // Tasks that are neither done nor placed.
  uint32_t waiting() const { return spec.tasks - done_ - placed_; }
  wire::JobStatus Status() const;
  // Mean run time on a machine type; nothing before the first finish there.
  std::optional<double> MeanRun(const std::string& flavor) const;
  std::optional<double> MeanRun() const;  // over all types

 private:
  void Count(const store::Shard& shard, bool add);

  std::map<uint32_t, store::Shard> shards_;
  // Sums over the groups, kept as they change: every round asks for them many times over.
  uint32_t done_ = 0;
  uint32_t placed_ = 0;
  std::map<std::string, store::RunStats> runs_;
  store::RunStats all_runs_;
};

// What a round wants written about one task.
struct Mutation {
  enum class Kind { kPlace, kRequeue, kDone };
  Kind kind = Kind::kPlace;
  wire::TaskId task;
  uint64_t attempt = 0;
  std::string machine;
  double run_s = 0;    // kDone: 0 if unknown
  std::string flavor;  // kDone
  double age_s = 0;    // kDone: how long it has been known
  std::string why;     // kRequeue: for the log
};

class Ledger {
 public:
  explicit Ledger(uint32_t tasks_per_shard) : tasks_per_shard_(tasks_per_shard) {}

  // Takes in a change of the state service. An empty value: the key was dropped.
  void Apply(const store::ParsedKey& key, const std::string& value);

  const std::unordered_map<std::string, Job>& all() const { return jobs_; }
  const Job* Find(const std::string& id) const;
  using Placements = std::map<wire::TaskId, uint64_t>;  // task -> attempt
  const std::unordered_map<std::string, Placements>& by_machine() const { return by_machine_; }
  const Placements& On(const std::string& machine) const;

  uint32_t ShardOf(uint32_t index) const { return index / tasks_per_shard_; }
  uint32_t Shards(const Job& job) const { return ShardOf(job.spec.tasks - 1) + 1; }
  // Task numbers that wait, lowest first, at most `limit`.
  std::vector<uint32_t> Waiting(const Job& job, size_t limit) const;
  uint64_t NextAttempt(const Job& job, uint32_t index) const;

  // Writes a mutation into a copy of its shard. False if the records have moved on meanwhile.
  bool Change(const Job& job, const Mutation& m, store::Shard* shard) const;
  // Shards of jobs that are final already: left behind where one transaction could not drop all.
  std::vector<std::string> Orphans() const;

 private:
  // Brings by_machine_ from what a group held before to what it holds now; null: nothing.
  void Index(const std::string& job, const store::Shard* before, const store::Shard* after);
  void Unplace(const std::string& job, uint32_t index, const std::string& machine);

  const uint32_t tasks_per_shard_;
  std::unordered_map<std::string, Job> jobs_;
  std::map<std::string, std::map<uint32_t, store::Shard>> orphans_;
  std::unordered_map<std::string, Placements> by_machine_;
};

}  // namespace hallpier::jobs
