#include "plan/demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "plan/duplex.h"

namespace hallpier::plan {
namespace {

// Tasks that need next to nothing still take a slot each.
constexpr double kMostPerMachine = 1e6;

double TasksPerMachine(const model::JobSpec& spec, const model::MachineType& type) {
  constexpr double kRounding = 1e-9;
  double fit = kMostPerMachine;
  if (spec.cpus > 0) fit = std::min(fit, std::floor(type.cpus / spec.cpus + kRounding));
  if (spec.gpus > 0) fit = std::min(fit, std::floor(type.gpus / spec.gpus + kRounding));
  if (spec.memory_gb > 0) {
    fit = std::min(fit, std::floor(type.memory_gb / spec.memory_gb + kRounding));
  }
  return fit;
}

}  // namespace

std::optional<CapacityDemand> DemandFor(const model::JobSpec& spec, size_t tasks,
                                        const std::vector<model::MachineType>& types) {
  const Room need{spec.cpus, spec.gpus, spec.memory_gb};
  std::vector<std::pair<double, CapacityDemand::Choice>> choices;
  for (const model::MachineType& type : types) {
    const Room capacity{type.cpus, type.gpus, type.memory_gb};
    if (!spec.AllowsMachineType(type.name) || !capacity.Fits(need)) continue;
    const double fit = TasksPerMachine(spec, type);
    const double price = (spec.spot ? type.spot_price : type.price) / fit;
    choices.push_back({price, {type.name, static_cast<size_t>(fit)}});
  }
  if (choices.empty()) return std::nullopt;
  std::sort(choices.begin(), choices.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  CapacityDemand demand;
  for (auto& [price, choice] : choices) demand.choices.push_back(std::move(choice));
  demand.zone = spec.zone;
  demand.spot = spec.spot;
  demand.tasks = tasks;
  return demand;
}

double MissingShare(double work_s, double cpus, double time_s) {
  return work_s <= 0 ? 0 : std::max(0.0, 1 - cpus * time_s / work_s);
}

}  // namespace hallpier::plan
