#include "plan/capacity_demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "plan/resources.h"

namespace hallpier::plan {
namespace {

// Limits the tasks of one machine if they require hardly any resources.
constexpr double kMaxTasksPerMachine = 1e6;

struct PricedChoice {
  double price_per_task = 0;  // per hour
  CapacityDemand::Choice choice;
};

double TasksPerMachine(const model::JobSpec& spec, const model::MachineType& machine_type) {
  double tasks_per_machine = kMaxTasksPerMachine;
  if (spec.cpus > 0)
    tasks_per_machine = std::min(tasks_per_machine, WholeQuotient(machine_type.cpus, spec.cpus));
  if (spec.gpus > 0)
    tasks_per_machine = std::min(tasks_per_machine, WholeQuotient(machine_type.gpus, spec.gpus));
  if (spec.memory_gb > 0) {
    tasks_per_machine =
        std::min(tasks_per_machine, WholeQuotient(machine_type.memory_gb, spec.memory_gb));
  }
  return tasks_per_machine;
}

}  // namespace

std::optional<CapacityDemand> DemandFor(const model::JobSpec& spec, size_t tasks,
                                        const std::vector<model::MachineType>& machine_types) {
  const Resources need = RequirementOf(spec);
  std::vector<PricedChoice> priced;
  for (const model::MachineType& machine_type : machine_types) {
    if (!spec.AllowsMachineType(machine_type.name)) continue;
    if (!CapacityOf(machine_type).Fits(need)) continue;
    const double tasks_per_machine = TasksPerMachine(spec, machine_type);
    const double price =
        (spec.spot ? machine_type.spot_price : machine_type.price) / tasks_per_machine;
    priced.push_back({price, {machine_type.name, static_cast<size_t>(tasks_per_machine)}});
  }
  if (priced.empty()) return std::nullopt;
  std::sort(priced.begin(), priced.end(), [](const PricedChoice& left, const PricedChoice& right) {
    return left.price_per_task < right.price_per_task;
  });
  CapacityDemand demand;
  for (PricedChoice& entry : priced) demand.choices.push_back(std::move(entry.choice));
  demand.zone = spec.zone;
  demand.spot = spec.spot;
  demand.tasks = tasks;
  return demand;
}

double ShortfallShare(double work_s, double cpus, double time_s) {
  if (work_s <= 0) return 0;
  return std::max(0.0, 1 - cpus * time_s / work_s);
}

std::vector<CapacityDemand> DemandForUnmapped(const JobQueue& queue, size_t first,
                                              const PlanningContext& context, double total_cpus) {
  double work_s = 0;
  for (size_t i = first; i < queue.jobs.size(); ++i) {
    const QueuedJob& queued = queue.jobs[i];
    const model::JobSpec& spec = queued.job->spec;
    const double run_s = queued.job->MeanRunTimeS().value_or(spec.estimated_run_s);
    work_s += static_cast<double>(queued.tasks) * run_s * spec.cpus;
  }
  std::vector<CapacityDemand> demands;
  const double shortfall = ShortfallShare(work_s, total_cpus, LongestBootTime(context));
  if (shortfall <= 0) return demands;
  for (size_t i = first; i < queue.jobs.size(); ++i) {
    const QueuedJob& queued = queue.jobs[i];
    const double tasks = std::ceil(shortfall * static_cast<double>(queued.tasks));
    auto demand = DemandFor(queued.job->spec, static_cast<size_t>(tasks), context.machine_types);
    if (demand) demands.push_back(std::move(*demand));
  }
  return demands;
}

}  // namespace hallpier::plan
