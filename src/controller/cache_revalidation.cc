#include "controller/cache_revalidation.h"

namespace hallpier::controller {
namespace {

// Number of checks for a pause of the process within the shortest pause that counts
// (LeaderElection::MaxRenewalGapS).
constexpr double kChecksPerMinPause = 10;

}  // namespace

async::Task<> RevalidateCacheAfterPauses(const NodeServices& services,
                                         store::LinearizableRead& linearizable_read,
                                         double retry_s) {
  async::Scope& scope = *services.scope;
  while (!scope.cancelled()) {
    async::Sleep wait(scope, services.election->MaxRenewalGapS() / kChecksPerMinPause);
    co_await wait;
    while (!scope.cancelled() && services.cache->current_as_of() < scope.loop().resumed_at()) {
      const bool confirmed = co_await linearizable_read.CatchUp();
      if (confirmed) break;
      async::Sleep retry(scope, retry_s);
      co_await retry;
    }
  }
}

}  // namespace hallpier::controller
