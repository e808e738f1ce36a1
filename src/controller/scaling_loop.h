// The leader's dealings with the cloud: machine types, the list of machines, scale out and scale
// in. Owned by the leader; its routine ends with the term.
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
  // Machines that one request to the cloud may return.
  static constexpr size_t kReturnsPerCall = 100;

  // All references must outlive this. `context`: gets the machine types with their spot prices.
  ScalingLoop(const NodeServices& services, fleet::WorkerRegistry& registry,
              plan::PlanningContext& context, RoundTrigger& trigger);

  // The routine of a term; ends with the scope, or once the lead is given up.
  async::Task<> Run(async::Scope& term);
  // The machines that the last round would have used.
  void SetDemands(std::vector<plan::CapacityDemand> demands) { demands_ = std::move(demands); }

 private:
  // Calls the cloud within its request limit. Nothing: no answer, or the call was not made.
  async::Task<std::optional<wire::HttpResponse>> Call(async::Scope& term,
                                                      wire::HttpRequest request);
  // Asks for the machine types, once in a while, and records them if they have changed.
  async::Task<> RefreshMachineTypes(async::Scope& term);
  async::Task<> RecordMachineTypes(async::Scope& term, std::vector<model::MachineType> types);
  // Lists all machines, page by page. False: some page could not be had.
  async::Task<bool> ListMachines(async::Scope& term);
  async::Task<> ScaleOut(async::Scope& term);
  enum class RentResult {
    kServed,  // as many as asked for, or an answer that can't be read
    kShort,   // fewer: the offer has no more
    kFailed,  // no answer, or an error: nothing more is asked for now
  };
  async::Task<RentResult> Rent(async::Scope& term, model::ScaleOutRequest request);
  async::Task<> ScaleIn(async::Scope& term);
  // True while silence says more of a pause of this process than of the workers.
  bool JustResumed(double now, double resumed_at) const;

  const NodeServices& services_;
  fleet::WorkerRegistry& registry_;
  plan::PlanningContext& context_;
  RoundTrigger& trigger_;
  fleet::Autoscaler autoscaler_;
  net::HttpClient cloud_;
  store::RateLimiter rate_limiter_;
  std::vector<plan::CapacityDemand> demands_;
  double machine_types_at_ = -1;  // steady time of the last good answer; negative: ask now
  int list_pages_ = 0;            // of the last list
};

}  // namespace hallpier::controller
