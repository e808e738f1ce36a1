#include "fleet/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <tuple>

#include "fleet/slowness_estimate.h"

namespace hallpier::fleet {
namespace {

constexpr int kMostPerRequest = 50;
// An offer that ran dry is asked again after this many report periods.
constexpr double kShortReports = 5;
// Machines that are not up, late ones included, are at most so many times those that are needed.
constexpr double kMostOutstanding = 2;
// AnswersLost machines are returned while they are fewer than this part of all.
constexpr double kManyAnswersLost = 0.25;
// A machine is quiet that has not been heard for this many report periods: a report may be late by
// a quarter of a period, and an answer slow.
constexpr double kQuiet = 1.5;
// Where most machines of a zone fall silent the zone is cut off rather than they are dead: they are
// returned only after so many leases, since they may be back at any moment.
constexpr double kCutLeases = 3;
// Idle machines kept, as a part of all that report.
constexpr double kIdleKept = 0.25;

}  // namespace

std::vector<Autoscaler::Pool> Autoscaler::PoolDemands(
    const std::vector<plan::CapacityDemand>& demands) const {
  std::map<std::tuple<std::string, std::string, bool>, Pool> pools;
  for (const plan::CapacityDemand& w : demands) {
    std::string choices;
    for (const auto& c : w.choices) choices += c.machine_type + "*" + std::to_string(c.fit) + " ";
    auto [it, fresh] = pools.try_emplace({choices, w.zone, w.spot}, Pool{&w, 0});
    it->second.tasks += static_cast<double>(w.tasks) * (1 + operators_.headroom);
  }
  std::vector<Pool> out;
  out.reserve(pools.size());
  for (const auto& [key, pool] : pools) out.push_back(pool);
  return out;
}

std::vector<Autoscaler::Offer> Autoscaler::OpenOffers(const model::MachineType& type,
                                                      const plan::CapacityDemand& demand, bool spot,
                                                      const std::set<Offer>& asked,
                                                      double now) const {
  std::vector<Offer> offers;
  for (const auto& zone : type.zones) {
    if (!demand.zone.empty() && zone != demand.zone) continue;
    Offer offer{type.name, zone, spot};
    auto wait = not_before_.find(offer);
    const bool dry = wait != not_before_.end() && wait->second > now;
    if (!dry && !asked.contains(offer)) offers.push_back(std::move(offer));
  }
  return offers;
}

void Autoscaler::RequestFrom(const std::vector<Offer>& offers, double tasks_per_machine,
                             model::FencingToken token, size_t most, Pool* pool,
                             std::vector<model::ScaleOutRequest>* requests) {
  while (!offers.empty() && pool->tasks > 0 && requests->size() < most) {
    auto left = static_cast<int>(std::ceil(pool->tasks / tasks_per_machine));
    for (size_t i = 0; i < offers.size() && left > 0 && requests->size() < most; ++i) {
      // Spread over the zones, so that no single one takes everything with it.
      const auto zones = static_cast<int>(offers.size() - i);
      model::ScaleOutRequest request;
      request.request =
          "hallpier-" + std::to_string(token.value()) + "-" + std::to_string(++number_);
      request.machine_type = offers[i].machine_type;
      request.zone = offers[i].zone;
      request.spot = offers[i].spot;
      request.count = std::min(kMostPerRequest, (left + zones - 1) / zones);
      left -= request.count;
      pool->tasks -= request.count * tasks_per_machine;
      requests->push_back(std::move(request));
    }
  }
}

std::vector<model::ScaleOutRequest> Autoscaler::ScaleOutRequests(
    const std::vector<plan::CapacityDemand>& demands,
    const std::vector<model::MachineType>& machine_types, model::FencingToken token, size_t most,
    double now) {
  std::vector<model::ScaleOutRequest> out;
  std::set<Offer> asked;
  for (Pool& pool : PoolDemands(demands)) {
    for (bool spot : {true, false}) {
      if (spot && !pool.demand->spot) continue;
      for (const auto& choice : pool.demand->choices) {
        const model::MachineType* type = model::FindMachineType(machine_types, choice.machine_type);
        if (type == nullptr) continue;
        const std::vector<Offer> offers = OpenOffers(*type, *pool.demand, spot, asked, now);
        RequestFrom(offers, static_cast<double>(choice.fit), token, most, &pool, &out);
        asked.insert(offers.begin(), offers.end());
      }
    }
  }
  return out;
}

void Autoscaler::LimitOutstanding(const WorkerRegistry& registry,
                                  const std::vector<model::MachineType>& machine_types, double now,
                                  std::vector<model::ScaleOutRequest>* requests) {
  std::map<std::string, int> allowed;
  for (const model::MachineType& type : machine_types) {
    const WorkerRegistry::BootingMachines there = registry.CountBooting(type, now);
    auto needed = static_cast<double>(there.on_time);
    for (const model::ScaleOutRequest& r : *requests)
      needed += r.machine_type == type.name ? r.count : 0;
    const auto outstanding = static_cast<double>(there.on_time + there.late);
    allowed[type.name] = static_cast<int>(std::max(0.0, kMostOutstanding * needed - outstanding));
  }
  for (model::ScaleOutRequest& r : *requests) {
    r.count = std::min(r.count, allowed[r.machine_type]);
    allowed[r.machine_type] -= r.count;
  }
  std::erase_if(*requests, [](const model::ScaleOutRequest& r) { return r.count == 0; });
}

void Autoscaler::OnShort(const model::ScaleOutRequest& r, double now) {
  not_before_[{r.machine_type, r.zone, r.spot}] =
      now + kShortReports * settings_.heartbeat_interval_s;
}

Autoscaler::Census Autoscaler::Count(WorkerRegistry& registry, const jobs::JobTable& job_table,
                                     double now) {
  Census census;
  for (auto& [name, m] : registry.all()) {
    if (m.cloud.terminating || (!m.has_reported() && m.cloud.booting)) continue;
    Census::Zone& zone = census.zones[m.zone];
    ++zone.up;
    const bool silent = registry.IsSilent(m, now);
    if (silent) ++zone.silent;
    if (!m.has_reported()) continue;
    ++census.reported;
    if (silent) ++census.silent;
    if (registry.MissedHeartbeats(m, now) > kQuiet) ++census.quiet;
    if (registry.AnswersLost(m, now)) ++census.answers_lost;
    const bool busy = !job_table.PlacementsOn(name).empty() || !m.reported_tasks.empty();
    if (busy) m.cloud.idle_since = now;
    if (!busy) ++census.idle;
  }
  return census;
}

bool Autoscaler::Lost(const WorkerRegistry& registry, const Machine& m, const Census& census,
                      double now) const {
  // The first to be silent are not returned while most others have missed a report as well: it
  // takes a few reports more until it is plain that the fault is ours.
  if (census.MostOf(census.quiet) || !registry.IsSilent(m, now)) return false;
  return !census.zones.at(m.zone).cut() ||
         registry.MissedHeartbeats(m, now) * settings_.heartbeat_interval_s >
             kCutLeases * settings_.lease_s;
}

std::optional<std::string_view> Autoscaler::WhyReturn(const WorkerRegistry& registry,
                                                      const jobs::JobTable& job_table,
                                                      const Machine& m, const Census& census,
                                                      double boot_deadline_s, double now) const {
  if (!m.has_reported()) {
    // Its age alone says nothing: a machine that reported to the leader before us is old, too.
    if (m.cloud.booting) {
      if (now - m.cloud.requested_at > boot_deadline_s + settings_.list_lag_s)
        return "never came up";
      return std::nullopt;
    }
    if (Lost(registry, m, census, now)) return "up, but never reported";
    return std::nullopt;
  }
  if (registry.IsSilent(m, now)) {
    if (Lost(registry, m, census, now)) return "silent";
    return std::nullopt;
  }
  // Where the answers to many are lost at once, they are more likely to be late than lost.
  const double many_answers_lost = kManyAnswersLost * static_cast<double>(census.reported) + 1;
  if (registry.AnswersLost(m, now) &&
      static_cast<double>(census.answers_lost) < many_answers_lost) {
    return "our answers don't reach it";
  }
  if (IsSlow(m) && job_table.PlacementsOn(m.name).empty()) return "slow";
  return std::nullopt;
}

bool Autoscaler::Review(WorkerRegistry& registry, const jobs::JobTable& job_table,
                        const plan::Context& context, bool has_demand, double now) const {
  Census census = Count(registry, job_table, now);
  const auto kept =
      static_cast<size_t>(std::ceil(kIdleKept * static_cast<double>(census.reported)));
  std::map<std::string, double> boot_deadlines;
  for (const model::MachineType& type : context.machine_types) {
    const size_t late = registry.CountBooting(type, now).late;
    boot_deadlines[type.name] = registry.boot_times().Deadline(type.name, type.boot_s, late, now);
  }
  for (auto& [name, m] : registry.all()) {
    if (m.cloud.terminating) continue;
    const model::MachineType* type = context.FindMachineType(m.machine_type);
    if (type == nullptr) continue;
    if (auto why = WhyReturn(registry, job_table, m, census, boot_deadlines[m.machine_type], now)) {
      registry.RequestTermination(m, std::string(*why));
      continue;
    }
    const bool idle = m.has_reported() && !registry.IsSilent(m, now) &&
                      now - m.cloud.idle_since > operators_.idle_ratio * type->boot_s;
    if (!has_demand && idle && census.idle > kept) {
      --census.idle;
      registry.RequestTermination(m, "idle");
    }
  }
  return !census.MostOf(census.silent);
}

}  // namespace hallpier::fleet
