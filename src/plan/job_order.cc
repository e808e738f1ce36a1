#include "plan/job_order.h"

#include <algorithm>
#include <cmath>

#include "model/job.h"

namespace hallpier::plan {
namespace {

// Jobs that can't meet their objective are served after the others until their age reaches this
// multiple of the objective's time limit.
constexpr double kMissedObjectiveFactor = 3;
// The unit of remaining work is this many heartbeat intervals on one processor.
constexpr double kWorkUnitIntervals = 10;
// Bands are logarithmic: each spans this many powers of two of the unit of work.
constexpr double kLog2WorkPerBand = 2;
// The lower half of the bands holds the jobs that can still meet their objective.
constexpr int kWorkBands = kBandsPerTier / 2;
// The tier of overdue jobs within a guarantee, after the tiers of urgent jobs within a guarantee.
constexpr int kOverdueTier = 2;
constexpr int kFirstOrdinaryTier = 3;

}  // namespace

// Jobs are ordered by priority. Within a priority, jobs within their team's guarantee come before
// jobs beyond it. A job within a guarantee that has waited longer than a machine takes to boot
// comes before all jobs beyond a guarantee; otherwise many urgent jobs of another team could deny a
// team its guarantee.
int JobOrder::PriorityTier(const jobs::Job& job, bool within_guarantee) const {
  int priority = static_cast<int>(job.priority);
  const bool urgent = job.priority <= model::Priority::kUrgent;
  if (job.priority == model::Priority::kBestEffort && HasAged(job)) --priority;
  if (within_guarantee && urgent) return priority;
  if (IsGuaranteeOverdue(job, within_guarantee)) return kOverdueTier;
  return kFirstOrdinaryTier + 2 * priority + (within_guarantee ? 0 : 1);
}

// Jobs with little remaining work come first, since that completes the most jobs in time. Jobs that
// can no longer meet their objective come after those that can, until they have waited long enough.
int JobOrder::RemainingWorkBand(const jobs::Job& job) const {
  const double run_s = job.MeanRunTimeS().value_or(job.spec.estimated_run_s);
  const double work = static_cast<double>(job.spec.tasks - job.done()) * run_s * job.spec.cpus;
  const double unit = kWorkUnitIntervals * context_.settings->heartbeat_interval_s;
  const int work_band = static_cast<int>(std::log2(work / unit + 1) / kLog2WorkPerBand);
  const int band = std::clamp(work_band, 0, kWorkBands - 1);
  return HasMissedObjectives(job, run_s) ? band + kWorkBands : band;
}

// A job class may have several objectives. The job has missed them if none of them can be met any
// more; the shortest one then determines how long the job is served after the others.
bool JobOrder::HasMissedObjectives(const jobs::Job& job, double run_s) const {
  const double age = time_of_day_ - job.runnable_since;
  double shortest_s = 0;
  double shortest_reachable_s = 0;
  for (const config::Objective& objective : context_.settings->objectives) {
    if (objective.kind != "finished" || objective.job_class != job.spec.job_class) continue;
    const double within_s = objective.within_s;
    if (shortest_s == 0 || within_s < shortest_s) shortest_s = within_s;
    const bool reachable = age + run_s <= within_s;
    if (reachable && (shortest_reachable_s == 0 || within_s < shortest_reachable_s)) {
      shortest_reachable_s = within_s;
    }
  }
  return shortest_s > 0 && shortest_reachable_s == 0 && age < kMissedObjectiveFactor * shortest_s;
}

bool JobOrder::IsGuaranteeOverdue(const jobs::Job& job, bool within_guarantee) const {
  return within_guarantee && time_of_day_ - job.runnable_since > LongestBootTime(context_);
}

// A best-effort job moves up by one priority once it has waited for a configured fraction of its
// objective; otherwise a steady stream of normal jobs would starve it. If the job class has several
// objectives, the first one in the settings applies.
bool JobOrder::HasAged(const jobs::Job& job) const {
  const config::Objective* objective =
      context_.settings->FindObjective("finished", job.spec.job_class);
  return objective != nullptr &&
         time_of_day_ - job.runnable_since >
             context_.operator_options->patience_ratio * objective->within_s;
}

}  // namespace hallpier::plan
