// Calls the cloud API for the leader: machine types, the list of machines, scale-out and scale-in.
// Owned by the leader; its coroutine ends with the term.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "async/wait.h"
#include "controller/node_services.h"
#include "controller/round_trigger.h"
#include "fleet/autoscaler.h"
#include "fleet/worker_registry.h"
#include "model/cloud.h"
#include "model/machine_type.h"
#include "net/http_client.h"
#include "plan/round.h"
#include "store/rate_limiter.h"
#include "wire/http.h"

namespace hallpier::controller {

class ScalingLoop {
 public:
  // Maximum number of machines returned to the cloud in one request.
  static constexpr size_t kMaxReturnsPerCall = 100;

  // All references must outlive this object. `context` receives the machine types with their spot
  // prices.
  ScalingLoop(const NodeServices& services, fleet::WorkerRegistry& registry,
              plan::PlanningContext& context, RoundTrigger& trigger);

  // Runs during a term: ends when the scope is cancelled or this node resigns leadership.
  async::Task<> Run(async::Scope& term);
  // Sets the machines that the last round would have used if they had been available.
  void SetDemands(std::vector<plan::CapacityDemand> demands) { demands_ = std::move(demands); }

 private:
  // Calls the cloud API within its rate limit. Returns std::nullopt if there was no response or the
  // call was not made.
  async::Task<std::optional<wire::HttpResponse>> CallCloud(async::Scope& term,
                                                           wire::HttpRequest request);
  // Requests the machine types periodically and records them if they have changed.
  async::Task<> RefreshMachineTypes(async::Scope& term);
  async::Task<> RecordMachineTypes(async::Scope& term, std::vector<model::MachineType> types);
  // Lists all machines, page by page. Returns false if a page could not be read.
  async::Task<bool> ListMachines(async::Scope& term);
  async::Task<> ScaleOut(async::Scope& term);
  enum class RentResult {
    kFulfilled,  // all machines were rented, or the response can't be decoded
    kPartial,    // fewer machines than requested: no more capacity
    kFailed,     // no response or an error: scale-out stops for now
  };
  async::Task<RentResult> Rent(async::Scope& term, model::ScaleOutRequest request);
  async::Task<> ScaleIn(async::Scope& term);
  // True while missing reports are explained by a recent pause of this process rather than by
  // failed workers.
  bool RecentlyResumed(double now, double resumed_at) const;

  const NodeServices& services_;
  fleet::WorkerRegistry& registry_;
  plan::PlanningContext& context_;
  RoundTrigger& trigger_;
  fleet::Autoscaler autoscaler_;
  net::HttpClient cloud_client_;
  store::RateLimiter rate_limiter_;
  std::vector<plan::CapacityDemand> demands_;
  // Steady time of the last valid response; negative to refresh now.
  double machine_types_read_at_ = -1;
  int list_pages_ = 0;  // pages of the last list
};

}  // namespace hallpier::controller
