#include "fleet/renter.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace hallpier::fleet {
namespace {

constexpr int kMostPerRequest = 50;
// An offer that ran dry is asked again after this many report periods.
constexpr double kShortReports = 5;
// A machine that is not up after this many of its usual boot times never will be.
constexpr double kNeverUp = 4;
// Idle machines kept, as a part of all that report.
constexpr double kIdleKept = 0.25;

}  // namespace

std::vector<wire::Rental> Renter::Rentals(const std::vector<plan::Want>& wants,
                                          const std::vector<wire::Flavor>& flavors, uint64_t token,
                                          double now) {
  std::map<std::tuple<std::string, std::string, bool>, double> sums;
  for (const plan::Want& w : wants) sums[{w.flavor, w.zone, w.spot}] += w.machines;
  std::vector<wire::Rental> out;
  for (const auto& [want, machines] : sums) {
    const auto& [name, zone, spot_ok] = want;
    int left = static_cast<int>(std::ceil(machines * (1 + operators_.headroom)));
    auto f = std::find_if(flavors.begin(), flavors.end(),
                          [&, n = name](const wire::Flavor& o) { return o.name == n; });
    if (f == flavors.end()) continue;
    for (bool spot : {true, false}) {
      if (spot && !spot_ok) continue;
      std::vector<Offer> offers;
      for (const auto& z : f->zones) {
        if (!zone.empty() && z != zone) continue;
        Offer o{name, z, spot};
        auto wait = not_before_.find(o);
        if (wait == not_before_.end() || wait->second <= now) offers.push_back(std::move(o));
      }
      // Spread over the zones, so that no single one takes everything with it.
      for (size_t i = 0; i < offers.size() && left > 0; ++i) {
        const auto rest = static_cast<int>(offers.size() - i);
        const int count = std::min(kMostPerRequest, (left + rest - 1) / rest);
        wire::Rental r;
        r.request = "hallpier-" + std::to_string(token) + "-" + std::to_string(++number_);
        r.flavor = offers[i].flavor;
        r.zone = offers[i].zone;
        r.spot = spot;
        r.count = count;
        left -= count;
        out.push_back(std::move(r));
      }
      if (left <= 0) break;
    }
  }
  return out;
}

void Renter::OnShort(const wire::Rental& r, double now) {
  not_before_[{r.flavor, r.zone, r.spot}] = now + kShortReports * settings_.report_s;
}

bool Renter::Review(Roster& roster, const jobs::Ledger& ledger, const plan::Context& context,
                    bool wanting, double now) {
  size_t reported = 0, silent = 0, idle = 0;
  for (auto& [name, m] : roster.all()) {
    if (!m.reported() || m.returning) continue;
    ++reported;
    if (roster.Silent(m, now)) ++silent;
    const bool busy = !ledger.On(name).empty() || !m.held.empty();
    if (busy) m.idle_since = now;
    if (!busy) ++idle;
  }
  const bool ours = reported >= 3 && 2 * silent > reported;
  auto kept = static_cast<size_t>(std::ceil(kIdleKept * static_cast<double>(reported)));
  for (auto& [name, m] : roster.all()) {
    if (m.returning) continue;
    const wire::Flavor* f = context.FindFlavor(m.flavor);
    if (f == nullptr) continue;
    if (!m.reported()) {
      if (now - m.rented_at > kNeverUp * f->ready_s + settings_.list_lag_s) {
        roster.Return(m, "never came up");
      }
      continue;
    }
    if (roster.Silent(m, now)) {
      if (!ours) roster.Return(m, "silent");
      continue;
    }
    if (!wanting && idle > kept && now - m.idle_since > operators_.idle_ratio * f->ready_s) {
      --idle;
      roster.Return(m, "idle");
    }
  }
  return !ours;
}

}  // namespace hallpier::fleet
