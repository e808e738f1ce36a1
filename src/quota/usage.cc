#include "quota/usage.h"

namespace hallpier::quota {

Amount TaskAmount(const model::JobSpec& spec) { return {spec.cpus, spec.gpus}; }

AmountByTeam SmallestTasks(const jobs::JobTable& job_table) {
  AmountByTeam smallest_tasks;
  auto update_min = [](double need, double* smallest) {
    if (need > 0 && (*smallest <= 0 || need < *smallest)) *smallest = need;
  };
  for (const auto& [id, job] : job_table.jobs()) {
    if (job.cancelled) continue;
    Amount& team = smallest_tasks[job.spec.team];
    update_min(job.spec.cpus, &team.cpus);
    update_min(job.spec.gpus, &team.gpus);
  }
  return smallest_tasks;
}

Usage CountPlaced(const jobs::JobTable& job_table, size_t owners, const OwnerLookup& owner_of) {
  Usage usage;
  usage.by_owner.resize(owners);
  for (const auto& [machine, placements] : job_table.placements_by_machine()) {
    const std::optional<size_t> owner = owner_of(machine);
    AmountByTeam& amounts = owner ? usage.by_owner.at(*owner) : usage.unowned;
    for (const auto& [task, attempt] : placements) {
      const jobs::Job* job = job_table.Find(task.job);
      if (job != nullptr) amounts[job->spec.team] += TaskAmount(job->spec);
    }
  }
  return usage;
}

}  // namespace hallpier::quota
