// An unfinished job as recorded in the state service. Owned and changed only by the job table.
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
  double submitted_at = 0;          // seconds since the Unix epoch
  bool uses_default_layout = true;  // its record has no group size
  // In its own record, or because it depends on a cancelled job. Its tasks are no longer placed.
  bool cancelled = false;
  // Derived from other jobs as well; see DependencyGraph::EffectiveState.
  bool blocked = false;
  double runnable_since = 0;  // from when the job could run; seconds since the Unix epoch
  model::Priority priority = model::Priority::kNormal;
  double deadline = 0;  // seconds since the Unix epoch

  TaskGroups groups;
  const std::map<uint32_t, store::TaskGroup>& task_groups() const { return groups.by_number(); }
  uint32_t done() const { return groups.done(); }
  uint32_t placed() const { return groups.placed(); }
  // Tasks that are neither done nor placed.
  uint32_t waiting() const { return spec.tasks - done() - placed(); }
  // Returns the state of a task that was placed at least once and is not done; nullptr for any
  // other task.
  const store::TaskState* FindOpen(uint32_t index) const;
  model::JobStatus Status() const;
  // Returns the mean run time on a machine type in seconds; std::nullopt before the first task has
  // finished on it.
  std::optional<double> MeanRunTimeS(const std::string& machine_type) const;
  // Returns the mean run time over all machine types in seconds.
  std::optional<double> MeanRunTimeS() const;
};

}  // namespace hallpier::jobs
