#include "plan/job_order.h"

#include <algorithm>
#include <cmath>

#include "model/job.h"

namespace hallpier::plan {
namespace {

// Jobs that can't meet their objective wait for others until their age is this many times its time.
constexpr double kMissedObjectives = 3;
// The unit of remaining work: this many heartbeat intervals on one processor.
constexpr double kBandIntervals = 10;
// Bands are logarithmic: each spans this many powers of two of the unit.
constexpr double kPowersPerBand = 2;
// The lower half of the bands is for jobs that can still meet their objective.
constexpr int kBandsByWork = kBands / 2;
// The tier of overdue work within a guarantee; urgent work within one comes before it.
constexpr int kOverdueTier = 2;
constexpr int kFirstOrdinaryTier = 3;

}  // namespace

// Priority first. Within a priority, work within its team's guarantee comes before work beyond it.
// Work within a guarantee that has waited for as long as a machine takes to boot goes before all
// that is beyond one: else a swarm of another team's urgent work could keep a team from what it is
// guaranteed.
int JobOrder::PriorityTier(const jobs::Job& job, bool within_guarantee) const {
  int priority = static_cast<int>(job.priority);
  const bool urgent = job.priority <= model::Priority::kUrgent;
  if (job.priority == model::Priority::kBestEffort && HasAged(job)) --priority;
  if (within_guarantee && urgent) return priority;
  if (IsGuaranteeOverdue(job, within_guarantee)) return kOverdueTier;
  return kFirstOrdinaryTier + 2 * priority + (within_guarantee ? 0 : 1);
}

// Jobs with little left go first, since that completes the most jobs in time. Those that can't meet
// their objective any more come after those that can, until they have waited long enough.
int JobOrder::RemainingWorkBand(const jobs::Job& job) const {
  const double run_s = job.MeanRunTimeS().value_or(job.spec.estimate_s);
  const double work = static_cast<double>(job.spec.tasks - job.done()) * run_s * job.spec.cpus;
  const double unit = kBandIntervals * context_.settings->heartbeat_interval_s;
  const int by_work = static_cast<int>(std::log2(work / unit + 1) / kPowersPerBand);
  const int band = std::clamp(by_work, 0, kBandsByWork - 1);
  return HasMissedObjectives(job, run_s) ? band + kBandsByWork : band;
}

// A job class may have several objectives: the nearest that can still be met counts.
bool JobOrder::HasMissedObjectives(const jobs::Job& job, double run_s) const {
  const double age = time_of_day_ - job.runnable_since;
  double nearest_s = 0;
  double nearest_reachable_s = 0;
  for (const config::Objective& objective : context_.settings->objectives) {
    if (objective.kind != "finished" || objective.job_class != job.spec.job_class) continue;
    const double within_s = objective.within_s;
    if (nearest_s == 0 || within_s < nearest_s) nearest_s = within_s;
    const bool reachable = age + run_s <= within_s;
    if (reachable && (nearest_reachable_s == 0 || within_s < nearest_reachable_s)) {
      nearest_reachable_s = within_s;
    }
  }
  return nearest_s > 0 && nearest_reachable_s == 0 && age < kMissedObjectives * nearest_s;
}

bool JobOrder::IsGuaranteeOverdue(const jobs::Job& job, bool within_guarantee) const {
  return within_guarantee && time_of_day_ - job.runnable_since > LongestBootTime(context_);
}

// Work of the lowest priority moves up once it has waited for a set part of its objective: a steady
// stream of normal work would else starve it. Of several objectives of a job class the one that the
// settings name first counts.
bool JobOrder::HasAged(const jobs::Job& job) const {
  const config::Objective* objective =
      context_.settings->FindObjective("finished", job.spec.job_class);
  return objective != nullptr && time_of_day_ - job.runnable_since >
                                     context_.operators->patience_ratio * objective->within_s;
}

}  // namespace hallpier::plan
