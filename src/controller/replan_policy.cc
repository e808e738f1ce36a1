#include "controller/replan_policy.h"

namespace hallpier::controller {

bool ReplanPolicy::ShouldReplan(const jobs::Transaction& transaction, bool round_requested,
                                double now) {
  // Urgent work takes precedence over all writes whose priority is lower than that of job ends.
  if (urgent_work_pending_ && transaction.priority > jobs::WritePriority::kJobEnd) return true;
  // Background writes are dropped if any round is requested, except for one transaction per
  // interval: under load, rounds are always requested, and no write may be delayed indefinitely.
  if (transaction.priority < jobs::WritePriority::kCleanup) return false;
  if (round_requested && now < last_background_sent_at_ + background_interval_s_) return true;
  last_background_sent_at_ = now;
  return false;
}

}  // namespace hallpier::controller
