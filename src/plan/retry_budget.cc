#include "plan/retry_budget.h"

namespace hallpier::plan {
namespace {

// Part of all processors that the retries of jobs which fail on every machine may take.
constexpr double kRetryShare = 0.02;

}  // namespace

bool RetryBudget::TryRetry(const jobs::Job& job) {
  if (!failures_.IsRetryDue(job.spec.id, now_)) return false;
  if (retries_ >= failures_.AvailableRetries(now_)) return false;
  const double limit = kRetryShare * total_cpus_;
  const double in_use = used_cpus_ + static_cast<double>(job.placed()) * job.spec.cpus;
  // While no such job has anything running, one is granted however small the site is.
  if (in_use > 0 && in_use + job.spec.cpus > limit) return false;
  ++retries_;
  used_cpus_ = in_use + job.spec.cpus;
  return true;
}

}  // namespace hallpier::plan
