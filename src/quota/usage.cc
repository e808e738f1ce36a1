#include "quota/usage.h"

namespace hallpier::quota {

Amount TaskAmount(const model::JobSpec& spec) { return {spec.cpus, spec.gpus}; }

AmountByTeam SmallestTasks(const jobs::JobTable& job_table) {
  AmountByTeam least;
  auto take = [](double need, double* smallest) {
    if (need > 0 && (*smallest <= 0 || need < *smallest)) *smallest = need;
  };
  for (const auto& [id, job] : job_table.all()) {
    if (job.cancelled) continue;
    Amount& team = least[job.spec.team];
    take(job.spec.cpus, &team.cpus);
    take(job.spec.gpus, &team.gpus);
  }
  return least;
}

Usage CountPlaced(const jobs::JobTable& job_table, size_t holders, const OwnerLookup& holder_of) {
  Usage usage;
  usage.by_owner.resize(holders);
  for (const auto& [machine, placements] : job_table.placements_by_machine()) {
    const std::optional<size_t> holder = holder_of(machine);
    AmountByTeam& there = holder ? usage.by_owner.at(*holder) : usage.unowned;
    for (const auto& [task, attempt] : placements) {
      const jobs::Job* job = job_table.Find(task.job);
      if (job != nullptr) there[job->spec.team] += TaskAmount(job->spec);
    }
  }
  return usage;
}

}  // namespace hallpier::quota
