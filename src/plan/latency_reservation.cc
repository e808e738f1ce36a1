#include "plan/latency_reservation.h"

#include <algorithm>
#include <cmath>

namespace hallpier::plan {
namespace {

// A job class is latency-sensitive if its tasks should start within this many heartbeat intervals.
constexpr double kLatencySensitiveIntervals = 3;
// Resources are reserved for this many jobs of average size of each class.
constexpr double kReservedJobsPerClass = 3;
// Weight of an unfinished job in the moving average of the job size; applied in every round.
constexpr double kSizeLearningRate = 0.02;
// Duration of a reservation: longer than the predicted run time of any task, including services.
constexpr double kReservationTimeS = 1e6;

bool IsLatencySensitive(const config::Objective& objective, const jobs::Job& job,
                        const config::Settings& settings) {
  return objective.kind == "wait" && objective.job_class == job.spec.job_class &&
         objective.within_s <= kLatencySensitiveIntervals * settings.heartbeat_interval_s;
}

}  // namespace

void LearnLatencySensitiveClass(PlanningContext& context, const jobs::Job& job) {
  if (job.spec.priority > model::Priority::kUrgent) return;
  for (const config::Objective& objective : context.settings->objectives) {
    if (!IsLatencySensitive(objective, job, *context.settings)) continue;
    auto [entry, is_new] = context.latency_sensitive_classes.try_emplace(job.spec.job_class);
    PlanningContext::LatencySensitiveClass& job_class = entry->second;
    const double tasks = job.spec.tasks;
    job_class.need = RequirementOf(job.spec);
    job_class.tasks += (is_new ? 1 : kSizeLearningRate) * (tasks - job_class.tasks);
  }
}

void ReserveForLatencySensitive(const PlanningContext& context, double total_cpus,
                                std::vector<MachineAvailability>& machines) {
  for (const auto& [name, job_class] : context.latency_sensitive_classes) {
    if (job_class.need.cpus <= 0) continue;
    const double max_tasks =
        context.operator_options->urgent_reserve * total_cpus / job_class.need.cpus;
    TaskClass reservation;
    reservation.need = job_class.need;
    reservation.count = static_cast<size_t>(
        std::ceil(std::min(max_tasks, kReservedJobsPerClass * job_class.tasks)));
    reservation.run_s.assign(machines.size(), kReservationTimeS);
    MapTasks(MappingOrder::kMinMin, {reservation}, machines, reservation.count);
  }
}

}  // namespace hallpier::plan
