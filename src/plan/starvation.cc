#include "plan/starvation.h"

#include <algorithm>

#include "config/operator_options.h"

namespace hallpier::plan {
namespace {

// Tasks that ask for next to no processor are counted with this much, so that the share bounds
// their number as well.
constexpr double kLeastCpus = 0.01;
// A job of which tasks are done or placed has had a turn: it starves after this many bounds.
constexpr double kBoundsOnceBegun = 2;

}  // namespace

size_t StarvationGuard::TasksServedFirst(const jobs::Job& job) {
  const config::OperatorOptions& operators = *input_.context.operators;
  const bool begun = job.done() + job.placed() > 0;
  const double bound_s = (begun ? kBoundsOnceBegun : 1) * operators.starve_s;
  if (input_.AgeOf(job) < bound_s) return 0;
  const double need = std::max(job.spec.cpus, kLeastCpus);
  const double left =
      operators.starve_share * total_cpus_ - used_cpus_ - static_cast<double>(job.placed()) * need;
  // At least one task if no job has been served first yet: small sites are served, too.
  const size_t least = used_cpus_ == 0 && !begun ? 1 : 0;
  const size_t tasks = std::max(least, static_cast<size_t>(std::max(0.0, left / need)));
  const size_t used = job.placed() + std::min<size_t>(tasks, job.waiting());
  used_cpus_ += static_cast<double>(used) * need;
  return tasks;
}

}  // namespace hallpier::plan
