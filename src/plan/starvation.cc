#include "plan/starvation.h"

#include <algorithm>

#include "config/operator_options.h"

namespace hallpier::plan {
namespace {

// Tasks that require less are counted with this many processors, so that the share also bounds the
// number of tasks that require hardly any processors.
constexpr double kMinAccountedCpus = 0.01;
// A job with tasks that are done or placed has been served before, so its bound is multiplied by
// this factor.
constexpr double kStartedJobBoundFactor = 2;

}  // namespace

size_t StarvationGuard::TasksServedFirst(const jobs::Job& job) {
  const config::OperatorOptions& operator_options = *input_.context.operator_options;
  const bool has_started = job.done() + job.placed() > 0;
  const double bound_s = (has_started ? kStartedJobBoundFactor : 1) * operator_options.starve_s;
  if (input_.AgeOf(job) < bound_s) return 0;
  const double need = std::max(job.spec.cpus, kMinAccountedCpus);
  const double cpus_left = operator_options.starve_share * total_cpus_ - used_cpus_ -
                           static_cast<double>(job.placed()) * need;
  // A job that has not started gets at least one task if no other job has used the share, so that
  // jobs do not starve on small sites either.
  const size_t min_tasks = used_cpus_ == 0 && !has_started ? 1 : 0;
  const size_t tasks = std::max(min_tasks, static_cast<size_t>(std::max(0.0, cpus_left / need)));
  const size_t used = job.placed() + std::min<size_t>(tasks, job.waiting());
  used_cpus_ += static_cast<double>(used) * need;
  return tasks;
}

}  // namespace hallpier::plan
