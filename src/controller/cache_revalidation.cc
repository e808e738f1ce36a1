#include "controller/cache_revalidation.h"

namespace hallpier::controller {
namespace {

// Checks for a pause of the process within the duration of the shortest pause that counts.
constexpr double kChecksPerMinPause = 10;

}  // namespace

async::Task<> RevalidateCacheAfterPauses(const NodeServices& services,
                                         store::LinearizableRead& linearizable_read,
                                         double retry_s) {
  async::Scope& scope = *services.scope;
  while (!scope.cancelled()) {
    async::Sleep pause(scope, services.election->MaxRenewalGapS() / kChecksPerMinPause);
    co_await pause;
    while (!scope.cancelled() && services.cache->current_as_of() < scope.loop().resumed_at()) {
      const bool confirmed = co_await linearizable_read.CatchUp();
      if (confirmed) break;
      async::Sleep retry(scope, retry_s);
      co_await retry;
    }
  }
}

}  // namespace hallpier::controller
