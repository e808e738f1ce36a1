#include "controller/replan_policy.h"

namespace hallpier::controller {

bool ReplanPolicy::ShouldReplan(const jobs::Transaction& transaction, bool round_requested,
                                double now) {
  // Urgent work may go before anything that ranks behind the ends of jobs.
  if (urgent_work_ && transaction.priority > jobs::WritePriority::kJobEnd) return true;
  // Background writes are dropped for anything new, except for one transaction in each interval: on
  // a busy day there is always something new, and no write may be put off for ever.
  if (transaction.priority < jobs::WritePriority::kCleanup) return false;
  if (round_requested && now < last_background_at_ + background_interval_s_) return true;
  last_background_at_ = now;
  return false;
}

}  // namespace hallpier::controller
