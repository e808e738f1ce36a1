// An unfinished job as the state service has it. Owned by the job table, which alone changes it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "jobs/task_groups.h"
#include "model/job.h"

namespace hallpier::jobs {

struct Job {
  explicit Job(TaskGroups task_groups) : groups(std::move(task_groups)) {}

  model::JobSpec spec;
  double submitted = 0;            // time of day, in seconds
  bool uses_common_layout = true;  // its record names no group size
  // By its own record, or because it depends on a cancelled job. No task is placed any more.
  bool cancelled = false;
  // What other jobs mean for it; see DependencyGraph::EffectiveState.
  bool blocked = false;
  double runnable_since = 0;  // time of day from which on it could run
  model::Priority priority = model::Priority::kNormal;
  double deadline = 0;  // time of day

  TaskGroups groups;
  const std::map<uint32_t, store::TaskGroup>& task_groups() const { return groups.all(); }
  uint32_t done() const { return groups.done(); }
  uint32_t placed() const { return groups.placed(); }
  // Tasks that are neither done nor placed.
  uint32_t waiting() const { return spec.tasks - done() - placed(); }
  // The state of a task that was ever placed and is not done; null for any other.
  const store::TaskState* FindOpen(uint32_t index) const;
  model::JobStatus Status() const;
  // Mean run time in seconds on a machine type; nothing before the first task has finished there.
  std::optional<double> MeanRunTimeS(const std::string& machine_type) const;
  // The same over all machine types.
  std::optional<double> MeanRunTimeS() const;
};

}  // namespace hallpier::jobs
