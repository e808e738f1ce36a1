#include "quota/usage.h"

namespace hallpier::quota {

Amount TaskAmount(const wire::JobSpec& spec) { return {spec.cpus, spec.gpus}; }

Usage CountPlaced(const jobs::Ledger& ledger, size_t holders, const HolderOf& holder_of) {
  Usage usage;
  usage.by_holder.resize(holders);
  for (const auto& [machine, placements] : ledger.by_machine()) {
    const std::optional<size_t> holder = holder_of(machine);
    AmountByTeam& there = holder ? usage.by_holder.at(*holder) : usage.outside;
    for (const auto& [task, attempt] : placements) {
      const jobs::Job* job = ledger.Find(task.job);
      if (job != nullptr) there[job->spec.team] += TaskAmount(job->spec);
    }
  }
  return usage;
}

}  // namespace hallpier::quota
