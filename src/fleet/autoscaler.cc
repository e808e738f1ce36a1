#include "fleet/autoscaler.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "fleet/slowness_estimate.h"

namespace hallpier::fleet {
namespace {

constexpr int kMaxMachinesPerRequest = 50;
// An offer that ran out of capacity is requested again after this many heartbeat intervals.
constexpr double kCapacityRetryIntervals = 5;
// Maximum ratio of booting machines, including late ones, to the number needed.
constexpr double kMaxBootingRatio = 2;
// Machines that don't receive our responses are terminated only while there are fewer of them than
// this fraction of the machines that have reported, plus one.
constexpr double kMaxResponsesLostShare = 0.25;
// A machine is overdue after this many heartbeat intervals without a heartbeat. This allows for
// heartbeats that are a quarter of an interval late and for slow responses.
constexpr double kOverdueIntervals = 1.5;
// If most machines of a zone are silent, the zone is probably partitioned and its machines are
// alive. They may reconnect at any time, so they are terminated only after this many lease
// durations.
constexpr double kPartitionLeases = 3;
// Of the machines that have reported, this fraction is kept even if idle.
constexpr double kIdleReserveShare = 0.25;

}  // namespace

std::vector<Autoscaler::DemandPool> Autoscaler::PoolDemands(
    const std::vector<plan::CapacityDemand>& demands) const {
  std::map<DemandClass, DemandPool> pools;
  for (const plan::CapacityDemand& demand : demands) {
    DemandClass key{{}, demand.zone, demand.spot};
    for (const auto& choice : demand.choices) {
      key.choices += choice.machine_type + "*" + std::to_string(choice.tasks_per_machine) + " ";
    }
    auto [entry, is_new] = pools.try_emplace(std::move(key), DemandPool{&demand, 0});
    entry->second.tasks += static_cast<double>(demand.tasks) * (1 + operator_options_.headroom);
  }
  std::vector<DemandPool> out;
  out.reserve(pools.size());
  for (const auto& [key, pool] : pools) out.push_back(pool);
  return out;
}

std::vector<Autoscaler::Offer> Autoscaler::AvailableOffers(const model::MachineType& type,
                                                           const plan::CapacityDemand& demand,
                                                           bool spot,
                                                           const std::set<Offer>& requested,
                                                           double now) const {
  std::vector<Offer> offers;
  for (const std::string& zone : type.zones) {
    if (!demand.zone.empty() && zone != demand.zone) continue;
    Offer offer{type.name, zone, spot};
    auto retry_at = retry_at_.find(offer);
    const bool is_exhausted = retry_at != retry_at_.end() && retry_at->second > now;
    if (!is_exhausted && !requested.contains(offer)) offers.push_back(std::move(offer));
  }
  return offers;
}

std::vector<model::ScaleOutRequest> Autoscaler::BuildRequests(const std::vector<Offer>& offers,
                                                              double tasks_per_machine,
                                                              model::FencingToken token,
                                                              size_t max_requests,
                                                              DemandPool& pool) {
  std::vector<model::ScaleOutRequest> requests;
  while (!offers.empty() && pool.tasks > 0 && requests.size() < max_requests) {
    auto machines_left = static_cast<int>(std::ceil(pool.tasks / tasks_per_machine));
    for (size_t i = 0; i < offers.size(); ++i) {
      if (machines_left <= 0 || requests.size() >= max_requests) break;
      // Spread the machines over the zones, so that the failure of one zone does not affect all of
      // them.
      const auto zones_left = static_cast<int>(offers.size() - i);
      const int share = (machines_left + zones_left - 1) / zones_left;
      model::ScaleOutRequest request;
      request.request = "hallpier-" + std::to_string(token.value()) + "-" +
                        std::to_string(++last_request_number_);
      request.machine_type = offers[i].machine_type;
      request.zone = offers[i].zone;
      request.spot = offers[i].spot;
      request.count = std::min(kMaxMachinesPerRequest, share);
      machines_left -= request.count;
      pool.tasks -= request.count * tasks_per_machine;
      requests.push_back(std::move(request));
    }
  }
  return requests;
}

std::vector<model::ScaleOutRequest> Autoscaler::ScaleOutRequests(
    const std::vector<plan::CapacityDemand>& demands,
    const std::vector<model::MachineType>& machine_types, model::FencingToken token,
    size_t max_requests, double now) {
  std::vector<model::ScaleOutRequest> out;
  std::set<Offer> requested;
  for (DemandPool& pool : PoolDemands(demands)) {
    for (bool spot : {true, false}) {
      if (spot && !pool.example->spot) continue;
      for (const auto& choice : pool.example->choices) {
        const model::MachineType* type = model::FindMachineType(machine_types, choice.machine_type);
        if (type == nullptr) continue;
        const std::vector<Offer> offers =
            AvailableOffers(*type, *pool.example, spot, requested, now);
        auto requests = BuildRequests(offers, static_cast<double>(choice.tasks_per_machine), token,
                                      max_requests - out.size(), pool);
        std::move(requests.begin(), requests.end(), std::back_inserter(out));
        requested.insert(offers.begin(), offers.end());
      }
    }
  }
  return out;
}

std::vector<model::ScaleOutRequest> Autoscaler::LimitBooting(
    const WorkerRegistry& registry, const std::vector<model::MachineType>& machine_types,
    double now, std::vector<model::ScaleOutRequest> requests) {
  std::map<std::string, int> allowed;
  for (const model::MachineType& type : machine_types) {
    const WorkerRegistry::BootingMachines booting = registry.CountBooting(type, now);
    auto needed = static_cast<double>(booting.on_time);
    for (const model::ScaleOutRequest& request : requests) {
      needed += request.machine_type == type.name ? request.count : 0;
    }
    const auto not_up = static_cast<double>(booting.on_time + booting.late);
    allowed[type.name] = static_cast<int>(std::max(0.0, kMaxBootingRatio * needed - not_up));
  }
  for (model::ScaleOutRequest& request : requests) {
    request.count = std::min(request.count, allowed[request.machine_type]);
    allowed[request.machine_type] -= request.count;
  }
  std::erase_if(requests, [](const model::ScaleOutRequest& request) { return request.count == 0; });
  return requests;
}

void Autoscaler::OnCapacityShortage(const model::ScaleOutRequest& request, double now) {
  const Offer offer{request.machine_type, request.zone, request.spot};
  retry_at_[offer] = now + kCapacityRetryIntervals * settings_.heartbeat_interval_s;
}

Autoscaler::FleetSummary Autoscaler::Summarize(WorkerRegistry& registry,
                                               const jobs::JobTable& job_table, double now) {
  FleetSummary summary;
  for (auto& [name, machine] : registry.machines()) {
    if (machine.cloud.terminating) continue;
    if (!machine.has_reported() && machine.cloud.booting) continue;
    FleetSummary::Zone& zone = summary.zones[machine.zone];
    ++zone.up;
    const bool is_silent = registry.IsSilent(machine, now);
    if (is_silent) ++zone.silent;
    if (!machine.has_reported()) continue;
    ++summary.reported;
    if (is_silent) ++summary.silent;
    if (registry.MissedHeartbeats(machine, now) > kOverdueIntervals) ++summary.overdue;
    if (registry.AreResponsesLost(machine, now)) ++summary.responses_lost;
    const bool has_work = !job_table.PlacementsOn(name).empty() || !machine.reported_tasks.empty();
    if (has_work) {
      machine.cloud.idle_since = now;
    } else {
      ++summary.idle;
    }
  }
  return summary;
}

std::map<std::string, double> Autoscaler::BootDeadlines(const WorkerRegistry& registry,
                                                        const plan::PlanningContext& context,
                                                        double now) {
  std::map<std::string, double> deadlines;
  for (const model::MachineType& type : context.machine_types) {
    const size_t late = registry.CountBooting(type, now).late;
    deadlines[type.name] = registry.boot_times().Deadline(type.name, type.boot_s, late, now);
  }
  return deadlines;
}

bool Autoscaler::IsPresumedDead(const WorkerRegistry& registry, const Machine& machine,
                                const FleetSummary& summary, double now) const {
  // The first silent machines are not terminated while most others have missed a heartbeat as well.
  // It takes a few more heartbeats until it is clear that this controller is cut off.
  if (summary.IsMajority(summary.overdue) || !registry.IsSilent(machine, now)) return false;
  if (!summary.zones.at(machine.zone).IsPartitioned()) return true;
  const double silent_s = registry.MissedHeartbeats(machine, now) * settings_.heartbeat_interval_s;
  return silent_s > kPartitionLeases * settings_.lease_s;
}

std::optional<std::string_view> Autoscaler::UnreportedTerminationReason(
    const WorkerRegistry& registry, const Machine& machine, const FleetSummary& summary,
    double boot_deadline_s, double now) const {
  if (machine.cloud.booting) {
    const double age_s = now - machine.cloud.requested_at;
    if (age_s > boot_deadline_s + settings_.list_lag_s) return "boot timeout";
    return std::nullopt;
  }
  // Once a machine is up, its age does not show that it has failed: a machine that reported to an
  // earlier leader is old as well.
  if (IsPresumedDead(registry, machine, summary, now)) return "no heartbeat since boot";
  return std::nullopt;
}

std::optional<std::string_view> Autoscaler::TerminationReason(
    const WorkerRegistry& registry, const jobs::JobTable& job_table, const Machine& machine,
    const FleetSummary& summary, double boot_deadline_s, double now) const {
  if (!machine.has_reported()) {
    return UnreportedTerminationReason(registry, machine, summary, boot_deadline_s, now);
  }
  if (registry.IsSilent(machine, now)) {
    if (IsPresumedDead(registry, machine, summary, now)) return "silent";
    return std::nullopt;
  }
  // If many machines show lost responses at once, the responses are more likely delayed than lost.
  const double responses_lost_limit =
      kMaxResponsesLostShare * static_cast<double>(summary.reported) + 1;
  if (registry.AreResponsesLost(machine, now) &&
      static_cast<double>(summary.responses_lost) < responses_lost_limit) {
    return "heartbeat responses lost";
  }
  if (IsSlow(machine) && job_table.PlacementsOn(machine.name).empty()) return "slow";
  return std::nullopt;
}

bool Autoscaler::MarkMachinesForTermination(WorkerRegistry& registry,
                                            const jobs::JobTable& job_table,
                                            const plan::PlanningContext& context, bool has_demand,
                                            double now) const {
  FleetSummary summary = Summarize(registry, job_table, now);
  std::map<std::string, double> boot_deadlines = BootDeadlines(registry, context, now);
  const auto idle_reserve =
      static_cast<size_t>(std::ceil(kIdleReserveShare * static_cast<double>(summary.reported)));
  for (auto& [name, machine] : registry.machines()) {
    if (machine.cloud.terminating) continue;
    const model::MachineType* type = context.FindMachineType(machine.machine_type);
    if (type == nullptr) continue;
    if (auto reason = TerminationReason(registry, job_table, machine, summary,
                                        boot_deadlines[machine.machine_type], now)) {
      registry.RequestTermination(machine, std::string(*reason));
      continue;
    }
    const double idle_s = now - machine.cloud.idle_since;
    const bool is_idle = machine.has_reported() && !registry.IsSilent(machine, now) &&
                         idle_s > operator_options_.idle_ratio * type->boot_s;
    if (!has_demand && is_idle && summary.idle > idle_reserve) {
      --summary.idle;
      registry.RequestTermination(machine, "idle");
    }
  }
  return !summary.IsMajority(summary.silent);
}

}  // namespace hallpier::fleet
