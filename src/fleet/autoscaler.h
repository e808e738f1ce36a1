// Decides which machines to request from the cloud (scale out) and which to terminate (scale in).
//
// Owned by the leader's cloud loop; lives on the event loop's thread. Does no I/O; all times are
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
  Autoscaler(const config::Settings& settings, const config::OperatorOptions& operators)
      : settings_(settings), operators_(operators) {}

  // Requests for the capacity that the last round found wanting, cheapest offers first, at most
  // `max_requests`. Each has a name that is unique for ever, made of the token of the term and a
  // number: a repeated request is idempotent.
  std::vector<model::ScaleOutRequest> ScaleOutRequests(
      const std::vector<plan::CapacityDemand>& demands,
      const std::vector<model::MachineType>& machine_types, model::FencingToken token,
      size_t max_requests, double now);

  // Reduces requests so that machines which are not up stay within a multiple of what is needed:
  // late ones are replaced, but machines that never come up must not bring ever more of their kind.
  // Returns the requests that are left.
  static std::vector<model::ScaleOutRequest> LimitBooting(
      const WorkerRegistry& registry, const std::vector<model::MachineType>& machine_types,
      double now, std::vector<model::ScaleOutRequest> requests);

  // The cloud has granted fewer machines than requested: the offer is not asked for a while.
  void OnCapacityShortage(const model::ScaleOutRequest& request, double now);

  // Marks machines to be terminated that never came up, went silent, don't get our answers, are
  // slow or are idle. `has_demand`: the last round wants more machines, so that idle ones are kept.
  // False if so many machines are silent that the fault is more likely ours.
  bool MarkMachinesForTermination(WorkerRegistry& registry, const jobs::JobTable& job_table,
                                  const plan::Context& context, bool has_demand, double now) const;

 private:
  // A kind of machine that the cloud may have or lack.
  struct Offer {
    std::string machine_type;
    std::string zone;
    bool spot;
    // clang-tidy takes the defaulted comparison for arithmetic on a literal 0.
    // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion)
    auto operator<=>(const Offer&) const = default;
  };
  // What demands have in common that the same machines can serve.
  struct DemandClass {
    std::string choices;  // machine types that fit, in order of preference, with tasks for each
    std::string zone;
    bool spot;
    // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion): as for Offer
    auto operator<=>(const DemandClass&) const = default;
  };
  // All demands of a class together.
  struct DemandPool {
    const plan::CapacityDemand* example;  // any of them
    double tasks;                         // with headroom, that no request covers yet
  };
  // How many machines are up, and in what state.
  struct FleetSummary {
    struct Zone {
      size_t up = 0;
      size_t silent = 0;
      // True if the zone is partitioned, most likely, rather than its machines dead.
      bool IsPartitioned() const { return up >= kMinForMajority && 2 * silent > up; }
    };
    // Of fewer machines than this, most being in trouble says nothing of the others.
    static constexpr size_t kMinForMajority = 3;
    size_t reported = 0;
    size_t silent = 0;
    size_t overdue = 0;  // have missed a heartbeat
    size_t answers_lost = 0;
    size_t idle = 0;
    std::map<std::string, Zone> zones;
    // True if `count` is the majority of the machines that have reported.
    bool IsMajority(size_t count) const {
      return reported >= kMinForMajority && 2 * count > reported;
    }
  };

  std::vector<DemandPool> PoolDemands(const std::vector<plan::CapacityDemand>& demands) const;
  // The offers of a machine type, by zone, that serve a demand, have not run dry lately and are not
  // in `requested`.
  std::vector<Offer> OpenOffers(const model::MachineType& type, const plan::CapacityDemand& demand,
                                bool spot, const std::set<Offer>& requested, double now) const;
  // Requests from these offers until the pool is served, at most `max_requests`. Takes what they
  // cover off the pool.
  std::vector<model::ScaleOutRequest> RequestFrom(const std::vector<Offer>& offers,
                                                  double tasks_per_machine,
                                                  model::FencingToken token, size_t max_requests,
                                                  DemandPool& pool);

  // Counts the machines, and notes which of them have work.
  static FleetSummary Summarize(WorkerRegistry& registry, const jobs::JobTable& job_table,
                                double now);
  // Ages in seconds at which a machine that is not up is given up, by machine type.
  static std::map<std::string, double> BootDeadlines(const WorkerRegistry& registry,
                                                     const plan::Context& context, double now);
  // True if a silent machine is better given up than waited for.
  bool IsGivenUp(const WorkerRegistry& registry, const Machine& machine,
                 const FleetSummary& summary, double now) const;
  // Why a machine is to be terminated whether there is demand or not; nothing if it is not.
  std::optional<std::string_view> TerminationReason(const WorkerRegistry& registry,
                                                    const jobs::JobTable& job_table,
                                                    const Machine& machine,
                                                    const FleetSummary& summary,
                                                    double boot_deadline_s, double now) const;
  // The same for a machine that has never reported.
  std::optional<std::string_view> TerminationReasonUnreported(const WorkerRegistry& registry,
                                                              const Machine& machine,
                                                              const FleetSummary& summary,
                                                              double boot_deadline_s,
                                                              double now) const;

  const config::Settings& settings_;
  const config::OperatorOptions& operators_;
  std::map<Offer, double> retry_at_;  // of offers that have run dry
  uint64_t last_request_number_ = 0;
};

}  // namespace hallpier::fleet
