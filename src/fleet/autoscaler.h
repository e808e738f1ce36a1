// Which machines to rent and which to return. Does no I/O.
#pragma once

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
  Autoscaler(const config::Settings& settings, const config::OperatorOptions& operators)
      : settings_(settings), operators_(operators) {}

  // Requests for what the last round wants, at most `most`, cheapest offers first; each names its
  // own request.
  // Names are unique for ever: they hold the token of the term and a number of its own.
  std::vector<model::ScaleOutRequest> ScaleOutRequests(
      const std::vector<plan::CapacityDemand>& demands,
      const std::vector<model::MachineType>& machine_types, model::FencingToken token, size_t most,
      double now);
  // Takes off what would go beyond a bound on machines that are not up: late ones are replaced, but
  // machines that never come up must not bring ever more of their kind.
  static void LimitOutstanding(const WorkerRegistry& registry,
                               const std::vector<model::MachineType>& machine_types, double now,
                               std::vector<model::ScaleOutRequest>* requests);
  // An offer gave less than asked: it is left alone for a while.
  void OnShort(const model::ScaleOutRequest& request, double now);

  // Marks machines that never came up, went silent or are idle. False if so many are silent that
  // the fault is more likely ours.
  bool Review(WorkerRegistry& registry, const jobs::JobTable& job_table,
              const plan::Context& context, bool has_demand, double now) const;

 private:
  struct Offer {
    std::string machine_type;
    std::string zone;
    bool spot;
    // clang-tidy takes the defaulted comparison for arithmetic on a literal 0.
    // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion)
    auto operator<=>(const Offer&) const = default;
  };
  // Wants that can be served alike are one: like tasks are decided as a class.
  struct Pool {
    const plan::CapacityDemand* demand;
    double tasks;
  };
  // How many machines are up, and in what state.
  struct Census {
    struct Zone {
      size_t up = 0;
      size_t silent = 0;
      bool cut() const { return up >= 3 && 2 * silent > up; }
    };
    size_t reported = 0;
    size_t silent = 0;
    size_t quiet = 0;
    size_t answers_lost = 0;
    size_t idle = 0;
    std::map<std::string, Zone> zones;
    bool MostOf(size_t count) const { return reported >= 3 && 2 * count > reported; }
  };

  std::vector<Pool> PoolDemands(const std::vector<plan::CapacityDemand>& demands) const;
  // What the cloud may still have of a type, by zone.
  std::vector<Offer> OpenOffers(const model::MachineType& type, const plan::CapacityDemand& demand,
                                bool spot, const std::set<Offer>& asked, double now) const;
  // Adds requests to these offers until the pool is served, at most `most` in all.
  void RequestFrom(const std::vector<Offer>& offers, double tasks_per_machine,
                   model::FencingToken token, size_t most, Pool* pool,
                   std::vector<model::ScaleOutRequest>* requests);
  static Census Count(WorkerRegistry& registry, const jobs::JobTable& job_table, double now);
  // True if a silent machine is better given up.
  bool Lost(const WorkerRegistry& registry, const Machine& m, const Census& census,
            double now) const;
  // Why a machine is to be returned whether there is work or not; nothing if it is not.
  std::optional<std::string_view> WhyReturn(const WorkerRegistry& registry,
                                            const jobs::JobTable& job_table, const Machine& m,
                                            const Census& census, double boot_deadline_s,
                                            double now) const;
  const config::Settings& settings_;
  const config::OperatorOptions& operators_;
  std::map<Offer, double> not_before_;
  uint64_t number_ = 0;
};

}  // namespace hallpier::fleet
