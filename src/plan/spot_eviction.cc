#include "plan/spot_eviction.h"

#include "plan/run_time.h"

namespace hallpier::plan {

std::vector<Preemption> PlanSpotEvictions(const RoundInput& input) {
  const double stop_s = kStopReactionRatio * ReactionTime(input.context);
  std::vector<Preemption> preemptions;
  for (const auto& [name, machine] : input.registry.machines()) {
    if (!machine.HasSpotNotice()) continue;
    const double time_left = machine.agent.reclaim_at - input.now;
    for (const auto& [task, attempt] : input.job_table.PlacementsOn(name)) {
      const jobs::Job* job = input.job_table.Find(task.job);
      if (job == nullptr || input.registry.stop_requests().Contains(task, attempt)) continue;
      if (RemainingTime(input, *job, machine, task, attempt) < time_left - stop_s) continue;
      const model::JobSpec& spec = job->spec;
      const bool takes_checkpoint = spec.checkpoint_every_s > 0 && spec.checkpoint_s < time_left;
      preemptions.push_back({task, attempt, name, takes_checkpoint ? spec.checkpoint_s : 0, {}});
    }
  }
  return preemptions;
}

}  // namespace hallpier::plan
