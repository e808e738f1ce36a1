#include "controller/cancellation_fence.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "election/start_lease.h"
#include "store/keys.h"

namespace hallpier::controller {
namespace {

// Acknowledgements that were delayed for longer are logged.
constexpr double kLoggedDelayS = 0.5;

}  // namespace

void CancellationFence::OnJobChanged(const std::string& job) {
  if (!services_.job_table->dependency_graph().CancelledByOwnRecord(job)) {
    cancellations_.erase(job);
    return;
  }
  const uint64_t version = services_.cache->Version(store::JobKey(job));
  cancellations_.try_emplace(job, Cancellation{version, services_.scope->loop().Now()});
}

void CancellationFence::SetEffective(const std::string& job) {
  auto entry = cancellations_.find(job);
  if (entry != cancellations_.end()) entry->second.effective = true;
}

double CancellationFence::FormerLeadersEndAt() const {
  return std::max(services_.election->other_leader_ended_at(), services_.cache->loaded_at()) +
         election::kStartLeaseExpiryS;
}

async::Task<> CancellationFence::AwaitEffective(std::string job) {
  const double started_at = services_.scope->loop().Now();
  while (!services_.scope->cancelled()) {
    auto entry = cancellations_.find(job);
    if (entry == cancellations_.end() || entry->second.effective) break;
    const double expires_at = entry->second.known_at + election::kStartLeaseExpiryS;
    if (services_.scope->loop().Now() >= expires_at) {
      SetEffective(job);
      break;
    }
    const uint64_t version = entry->second.version;
    co_await AwaitProgress(job, version, expires_at);
  }
  const double delay_s = services_.scope->loop().Now() - started_at;
  if (delay_s > kLoggedDelayS) {
    spdlog::info("cancel: acknowledged late job={} seconds={:.2f} reason=start leases", job,
                 delay_s);
  }
}

async::Task<> CancellationFence::AwaitProgress(std::string job, uint64_t version,
                                               double expires_at) {
  const double now = services_.scope->loop().Now();
  if (!services_.cache->loaded() || services_.cache->revision() < version) {
    auto wait = services_.cache->changed().Await(*services_.scope, expires_at - now);
    co_await wait;
    co_return;
  }
  if (const double former_leaders_end_at = FormerLeadersEndAt(); now < former_leaders_end_at) {
    async::Sleep wait(*services_.scope, std::min(former_leaders_end_at, expires_at) - now);
    co_await wait;
    co_return;
  }
  const std::string leader = services_.election->leader();
  if (leader.empty() || leader == services_.settings->node) {
    SetEffective(job);
    co_return;
  }
  wire::CancelNotice notice{{job, version}};
  const bool delivered = co_await deliver_(leader, notice, expires_at - now);
  if (delivered) {
    SetEffective(job);
    co_return;
  }
  async::Sleep wait(*services_.scope, expires_at - services_.scope->loop().Now());
  co_await wait;
}

}  // namespace hallpier::controller
