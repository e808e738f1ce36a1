// Decides which machines to request from the cloud (scale out) and which to terminate (scale in).
//
// Owned by the leader's cloud loop; used on the event loop's thread. Does no I/O; all times are
// passed in, in seconds of the steady clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/operator_options.h"
#include "config/settings.h"
#include "fleet/worker_registry.h"
#include "model/cloud.h"
#include "model/ids.h"
#include "model/machine_type.h"
#include "plan/round.h"

namespace hallpier::fleet {

class Autoscaler {
 public:
  // Both must outlive the autoscaler.
  Autoscaler(const config::Settings& settings, const config::OperatorOptions& operator_options)
      : settings_(settings), operator_options_(operator_options) {}

  // Returns requests for the capacity that the last round lacked, at most `max_requests`. Cheapest
  // offers come first: spot before on-demand, then machine types in the demand's order of
  // preference. Each request has a name that is never reused, made of the term's token and a
  // sequence number, so that repeating the request is idempotent.
  std::vector<model::ScaleOutRequest> ScaleOutRequests(
      const std::vector<plan::CapacityDemand>& demands,
      const std::vector<model::MachineType>& machine_types, model::FencingToken token,
      size_t max_requests, double now);

  // Limits the requests so that the number of booting machines stays within a multiple of the
  // number needed. Late machines are replaced, but machines that never boot must not cause more and
  // more requests. Returns the remaining requests.
  static std::vector<model::ScaleOutRequest> LimitBooting(
      const WorkerRegistry& registry, const std::vector<model::MachineType>& machine_types,
      double now, std::vector<model::ScaleOutRequest> requests);

  // Handles a request for which the cloud granted fewer machines: its offer is skipped for a while.
  void OnCapacityShortage(const model::ScaleOutRequest& request, double now);

  // Marks machines for termination that failed to boot, are silent, don't receive our responses,
  // are slow or are idle. `has_demand`: the last round needs more machines, so idle ones are kept.
  // Returns false if so many machines are silent that this controller is probably cut off.
  bool MarkMachinesForTermination(WorkerRegistry& registry, const jobs::JobTable& job_table,
                                  const plan::PlanningContext& context, bool has_demand,
                                  double now) const;

 private:
  // A machine type, zone and price model that the cloud may or may not have capacity for.
  struct Offer {
    std::string machine_type;
    std::string zone;
    bool spot;
    // clang-tidy mistakes the defaulted comparison for arithmetic on a literal 0.
    // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion)
    auto operator<=>(const Offer&) const = default;
  };
  // Key shared by all demands that the same machines can serve.
  struct DemandClass {
    std::string choices;  // fitting machine types in order of preference, with tasks per machine
    std::string zone;
    bool spot;
    // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion): as for Offer
    auto operator<=>(const DemandClass&) const = default;
  };
  // All demands of a class combined.
  struct DemandPool {
    const plan::CapacityDemand* example;  // any demand of the class
    double tasks;                         // not covered by a request yet; includes headroom
  };
  // Numbers of machines that are up, by state.
  struct FleetSummary {
    struct Zone {
      size_t up = 0;
      size_t silent = 0;
      // True if the zone is probably partitioned and its machines are alive.
      bool IsPartitioned() const { return up >= kMinForMajority && 2 * silent > up; }
    };
    // With fewer machines than this, a majority proves nothing about the rest.
    static constexpr size_t kMinForMajority = 3;
    size_t reported = 0;
    size_t silent = 0;
    size_t overdue = 0;  // missed a heartbeat
    size_t responses_lost = 0;
    size_t idle = 0;
    std::map<std::string, Zone> zones;
    // True if `count` is the majority of the machines that have reported.
    bool IsMajority(size_t count) const {
      return reported >= kMinForMajority && 2 * count > reported;
    }
  };

  std::vector<DemandPool> PoolDemands(const std::vector<plan::CapacityDemand>& demands) const;
  // Returns the offers of a machine type, by zone, that serve a demand, have not run out of
  // capacity recently and are not in `requested`.
  std::vector<Offer> AvailableOffers(const model::MachineType& type,
                                     const plan::CapacityDemand& demand, bool spot,
                                     const std::set<Offer>& requested, double now) const;
  // Returns requests for these offers until the pool is covered, at most `max_requests`. Subtracts
  // the tasks that they cover from the pool.
  std::vector<model::ScaleOutRequest> BuildRequests(const std::vector<Offer>& offers,
                                                    double tasks_per_machine,
                                                    model::FencingToken token, size_t max_requests,
                                                    DemandPool& pool);

  // Counts the machines by state, and updates `idle_since` of those that have tasks.
  static FleetSummary Summarize(WorkerRegistry& registry, const jobs::JobTable& job_table,
                                double now);
  // Returns the ages in seconds at which to give up on a booting machine, by machine type.
  static std::map<std::string, double> BootDeadlines(const WorkerRegistry& registry,
                                                     const plan::PlanningContext& context,
                                                     double now);
  // True if a machine is silent and probably dead, so that waiting for it is not worthwhile.
  bool IsPresumedDead(const WorkerRegistry& registry, const Machine& machine,
                      const FleetSummary& summary, double now) const;
  // Returns the reason for terminating a machine regardless of demand; std::nullopt if there is
  // none.
  std::optional<std::string_view> TerminationReason(const WorkerRegistry& registry,
                                                    const jobs::JobTable& job_table,
                                                    const Machine& machine,
                                                    const FleetSummary& summary,
                                                    double boot_deadline_s, double now) const;
  // Like TerminationReason(), for a machine that has never reported.
  std::optional<std::string_view> UnreportedTerminationReason(const WorkerRegistry& registry,
                                                              const Machine& machine,
                                                              const FleetSummary& summary,
                                                              double boot_deadline_s,
                                                              double now) const;

  const config::Settings& settings_;
  const config::OperatorOptions& operator_options_;
  std::map<Offer, double> retry_at_;  // of offers without capacity
  uint64_t last_request_number_ = 0;
};

}  // namespace hallpier::fleet
