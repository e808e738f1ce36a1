#include "fleet/boot_times.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hallpier::fleet {
namespace {

// Boots kept per type. Must exceed the number of machines that are requested at once: the slowest
// boot last, and would otherwise displace all others.
constexpr size_t kMaxBoots = 1000;
// With fewer boots than this, the nominal time is a better estimate than their quantiles.
constexpr size_t kMinBoots = 5;
constexpr double kMedian = 0.5;
constexpr double kLateQuantile = 0.9;
// Nearly all machines boot within this many nominal boot times. Used as the late threshold while
// there are too few observations, and as its lower bound otherwise.
constexpr double kNominalLateRatio = 2;
// Deadline of a booting machine, in multiples of the late threshold, and its minimum in nominal
// boot times. Waiting beyond the late threshold is cheap: a replacement has been requested by then,
// and most late machines do boot in the end.
constexpr double kDeadlineRatio = 1.3;
constexpr double kMinDeadlineRatio = 4;
// Minimum deadline in nominal boot times while boots are slow.
constexpr double kSlowBootsRatio = 8;
// Fewer late machines than this don't show that boots are slow.
constexpr size_t kMinLateForSlowBoots = 3;

// Returns the smallest value that at least the fraction `share` of the values don't exceed.
double Quantile(const std::vector<double>& sorted, double share) {
  const auto rank = std::ceil(share * static_cast<double>(sorted.size())) - 1;
  return sorted[static_cast<size_t>(rank)];
}

}  // namespace

void BootTimes::OnBooted(const std::string& machine_type, double seconds, double now) {
  TypeHistory& history = histories_[machine_type];
  history.boots.push_back({seconds, now});
  if (history.boots.size() > kMaxBoots) history.boots.pop_front();
  history.quantiles_stale = true;
}

const BootTimes::TypeHistory* BootTimes::FindHistory(const std::string& machine_type) const {
  auto entry = histories_.find(machine_type);
  if (entry == histories_.end() || entry->second.boots.size() < kMinBoots) return nullptr;
  TypeHistory& history = entry->second;
  if (!history.quantiles_stale) return &history;
  std::vector<double> seconds;
  seconds.reserve(history.boots.size());
  for (const Boot& boot : history.boots) seconds.push_back(boot.seconds);
  std::sort(seconds.begin(), seconds.end());
  history.median_s = Quantile(seconds, kMedian);
  history.late_s = Quantile(seconds, kLateQuantile);
  history.quantiles_stale = false;
  return &history;
}

size_t BootTimes::CountRecent(const std::string& machine_type, double seconds, double now) const {
  auto entry = histories_.find(machine_type);
  if (entry == histories_.end()) return 0;
  const std::deque<Boot>& boots = entry->second.boots;
  const auto recent = std::count_if(boots.begin(), boots.end(), [&](const Boot& boot) {
    return now - boot.observed_at <= seconds;
  });
  return static_cast<size_t>(recent);
}

double BootTimes::Expected(const std::string& machine_type, double nominal_s) const {
  const TypeHistory* history = FindHistory(machine_type);
  return history == nullptr ? nominal_s : history->median_s;
}

double BootTimes::LateThreshold(const std::string& machine_type, double nominal_s) const {
  // The threshold never drops below the nominal one: a period of fast boots does not prove that a
  // boot which takes as long as the cloud states has failed.
  const double nominal = kNominalLateRatio * nominal_s;
  const TypeHistory* history = FindHistory(machine_type);
  return history == nullptr ? nominal : std::max(nominal, history->late_s);
}

double BootTimes::Deadline(const std::string& machine_type, double nominal_s, size_t late,
                           double now) const {
  const double deadline = std::max(kMinDeadlineRatio * nominal_s,
                                   kDeadlineRatio * LateThreshold(machine_type, nominal_s));
  const double slow = kSlowBootsRatio * nominal_s;
  const bool boots_are_slow =
      late >= kMinLateForSlowBoots && late > CountRecent(machine_type, slow, now);
  return boots_are_slow ? std::max(deadline, slow) : deadline;
}

}  // namespace hallpier::fleet
