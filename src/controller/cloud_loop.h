// The leader's dealings with the cloud: machine types, the list of machines, renting, returning.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "controller/node_services.h"
#include "fleet/autoscaler.h"
#include "fleet/worker_registry.h"
#include "net/http_client.h"
#include "plan/round.h"
#include "store/rate_limiter.h"

namespace hallpier::controller {

class CloudLoop {
 public:
  // Machines that one request to the cloud may return.
  static constexpr size_t kReturnsPerCall = 100;

  // `changed`: something came that a round should look at.
  CloudLoop(const NodeServices& services, fleet::WorkerRegistry& registry, plan::Context& context,
            std::function<void()> changed);

  // The routine of a term; it ends with the scope, or once the lead is given up.
  async::Task<> Run(async::Scope& term);
  // What the last round would have machines for.
  void SetDemands(std::vector<plan::CapacityDemand> demands) { demands_ = std::move(demands); }

 private:
  async::Task<std::optional<wire::HttpResponse>> Call(async::Scope& term,
                                                      wire::HttpRequest request);
  async::Task<> LearnMachineTypes(async::Scope& term);
  async::Task<bool> List(async::Scope& term);
  async::Task<> Rent(async::Scope& term);
  async::Task<> Return(async::Scope& term);
  // True while silence says more of a pause of this process than of the workers.
  bool JustResumed(double now, double resumed_at) const;

  const NodeServices& services_;
  fleet::WorkerRegistry& registry_;
  plan::Context& context_;
  const std::function<void()> changed_;
  fleet::Autoscaler autoscaler_;
  net::HttpClient cloud_;
  store::RateLimiter rate_limiter_;
  std::vector<plan::CapacityDemand> demands_;
  double machine_types_at_ = -1;
  int list_pages_ = 0;  // of the last list
};

}  // namespace hallpier::controller
