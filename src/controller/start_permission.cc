#include "controller/start_permission.h"

#include <variant>

#include "election/start_lease.h"
#include "store/keys.h"

namespace hallpier::controller {
namespace {

// Seconds before a failed read is retried.
constexpr double kRetryS = 0.1;

}  // namespace

bool StartPermission::MayStart(const std::string& job) const {
  if (cancellations_.MayStartTasks(job)) return true;
  auto known = not_cancelled_at_.find(job);
  return known != not_cancelled_at_.end() &&
         scope_.loop().Now() <= known->second + election::kStartLeaseS;
}

void StartPermission::OnCommitted(const std::vector<model::Precondition>& preconditions,
                                  double requested_at) {
  std::erase_if(not_cancelled_at_, [&](const auto& entry) {
    return entry.second + election::kStartLeaseS < requested_at;
  });
  for (const model::Precondition& precondition : preconditions) {
    const store::ParsedKey key = store::ParseKey(precondition.key);
    const auto* name = std::get_if<store::JobKeyName>(&key);
    if (name != nullptr) not_cancelled_at_[name->job] = requested_at;
  }
}

async::Task<bool> StartPermission::Await(async::Scope& waiting_scope,
                                         std::function<bool()> has_permission, double limit_s) {
  const double deadline = scope_.loop().Now() + limit_s;
  while (!has_permission()) {
    // If the state service is not available, the other nodes' reports may still bring permission.
    const bool caught_up = co_await linearizable_read_.CatchUp();
    if (waiting_scope.cancelled()) co_return false;
    if (caught_up) continue;
    if (scope_.loop().Now() >= deadline) break;
    async::Sleep retry(waiting_scope, kRetryS);
    co_await retry;
  }
  co_return has_permission();
}

}  // namespace hallpier::controller
