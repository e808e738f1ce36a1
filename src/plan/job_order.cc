#include "plan/job_order.h"

#include <algorithm>
#include <cmath>

#include "model/job.h"
#include "model/machine_type.h"

namespace hallpier::plan {
namespace {

// Jobs that can't make their aim wait for others until their age is this many times the aim.
constexpr double kMissedAims = 3;
// A band is two powers of two of this many report periods of work on one processor.
constexpr double kBandReports = 10;
// The tier of overdue work within a guarantee; urgent work within one comes before it.
constexpr int kOverdueTier = 2;
constexpr int kFirstOrdinaryTier = 3;

}  // namespace

double BootTime(const Context& context) {
  double boot = context.settings->heartbeat_interval_s;
  for (const model::MachineType& type : context.machine_types) boot = std::max(boot, type.boot_s);
  return boot;
}

// Priority first. Within a team's guarantee comes before beyond it, and work within it that has
// waited for as long as a machine takes to boot goes before all that is beyond a guarantee: else
// a swarm of another team's urgent work could keep a team from what it is owed.
int JobOrder::Tier(const jobs::Job& job, bool within) const {
  int priority = static_cast<int>(job.priority);
  const bool urgent = job.priority <= model::Priority::kUrgent;
  if (job.priority == model::Priority::kBestEffort && Pressing(job)) --priority;
  if (within && urgent) return priority;
  if (Overdue(job, within)) return kOverdueTier;
  return kFirstOrdinaryTier + 2 * priority + (within ? 0 : 1);
}

// Jobs with little left go first, since that ends the most jobs in time; those that can't make
// their aim any more come after those that can, until they have waited long enough.
int JobOrder::Band(const jobs::Job& job) const {
  const double run = job.MeanRun().value_or(job.spec.estimate_s);
  const double left = static_cast<double>(job.spec.tasks - job.done()) * run * job.spec.cpus;
  const double unit = kBandReports * context_.settings->heartbeat_interval_s;
  int band = std::clamp(static_cast<int>(std::log2(left / unit + 1) / 2), 0, kBands / 2 - 1);
  const double age = wall_now_ - job.since;
  // A job class may have several aims: the nearest that can still be met counts.
  double first = 0, next = 0;
  for (const config::Objective& o : context_.settings->objectives) {
    if (o.kind != "finished" || o.job_class != job.spec.job_class) continue;
    if (first == 0 || o.within_s < first) first = o.within_s;
    if (age + run <= o.within_s && (next == 0 || o.within_s < next)) next = o.within_s;
  }
  if (first > 0 && next == 0 && age < kMissedAims * first) band += kBands / 2;
  return band;
}

bool JobOrder::Overdue(const jobs::Job& job, bool within) const {
  return within && wall_now_ - job.since > BootTime(context_);
}

// Work of the lowest priority moves up once it has waited for a set part of its aim: a steady
// stream of normal work would else starve it. `finished` aims of a job class may be several; the
// nearest counts.
bool JobOrder::Pressing(const jobs::Job& job) const {
  const config::Objective* o = context_.settings->FindObjective("finished", job.spec.job_class);
  return o != nullptr && wall_now_ - job.since > context_.operators->patience_ratio * o->within_s;
}

}  // namespace hallpier::plan
