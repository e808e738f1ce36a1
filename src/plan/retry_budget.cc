#include "plan/retry_budget.h"

namespace hallpier::plan {
namespace {

// Share of all processors that may be used for the retries of jobs which fail on every machine.
constexpr double kRetryCpuShare = 0.02;

}  // namespace

bool RetryBudget::TryRetry(const jobs::Job& job) {
  if (!failures_.IsRetryDue(job.spec.id, now_)) return false;
  if (retries_ >= failures_.AvailableRetries(now_)) return false;
  const double limit = kRetryCpuShare * total_cpus_;
  const double in_use = used_cpus_ + static_cast<double>(job.placed()) * job.spec.cpus;
  // The first retry of a round is granted even if it exceeds the share, provided that its job has
  // no placed task, so that small sites retry as well.
  if (in_use > 0 && in_use + job.spec.cpus > limit) return false;
  ++retries_;
  used_cpus_ = in_use + job.spec.cpus;
  return true;
}

}  // namespace hallpier::plan
