#include "fleet/boot_times.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hallpier::fleet {
namespace {

// Boots remembered for each type. Must be more than come in one wave: the last to come are the
// slowest, and would be all that is remembered.
constexpr size_t kMaxBoots = 1000;
// From this many boots on, their quantiles are better than the nominal time.
constexpr size_t kMinBoots = 5;
constexpr double kMedian = 0.5;
constexpr double kNearlyAll = 0.9;
// Without observations, nearly all machines are up within this many nominal boot times.
constexpr double kNominalLateRatio = 2;
// A machine is given up at this many times the age at which it is late, and not before this many
// nominal boot times: it has been replaced by then, and most late machines do come up...
constexpr double kDeadlineRatio = 1.3;
constexpr double kMinDeadlineRatio = 4;
// ...unless boots are slow: then it is given this many nominal boot times.
constexpr double kSlowBootsRatio = 8;
// Fewer late machines than this say nothing of the others.
constexpr size_t kMinLateForSlowBoots = 3;

// The value that the given part of the sorted ones does not exceed.
double Quantile(const std::vector<double>& sorted, double share) {
  const auto rank = std::ceil(share * static_cast<double>(sorted.size())) - 1;
  return sorted[static_cast<size_t>(rank)];
}

}  // namespace

void BootTimes::OnBooted(const std::string& machine_type, double seconds, double now) {
  Observed& observed = observed_[machine_type];
  observed.boots.push_back({seconds, now});
  if (observed.boots.size() > kMaxBoots) observed.boots.pop_front();
  observed.stale = true;
}

const BootTimes::Observed* BootTimes::FindObserved(const std::string& machine_type) const {
  auto entry = observed_.find(machine_type);
  if (entry == observed_.end() || entry->second.boots.size() < kMinBoots) return nullptr;
  Observed& observed = entry->second;
  if (!observed.stale) return &observed;
  std::vector<double> seconds;
  seconds.reserve(observed.boots.size());
  for (const Boot& boot : observed.boots) seconds.push_back(boot.seconds);
  std::sort(seconds.begin(), seconds.end());
  observed.median_s = Quantile(seconds, kMedian);
  observed.nearly_all_s = Quantile(seconds, kNearlyAll);
  observed.stale = false;
  return &observed;
}

size_t BootTimes::CountRecent(const std::string& machine_type, double seconds, double now) const {
  auto entry = observed_.find(machine_type);
  if (entry == observed_.end()) return 0;
  const std::deque<Boot>& boots = entry->second.boots;
  const auto recent = std::count_if(boots.begin(), boots.end(), [&](const Boot& boot) {
    return now - boot.observed_at <= seconds;
  });
  return static_cast<size_t>(recent);
}

double BootTimes::Expected(const std::string& machine_type, double nominal_s) const {
  const Observed* observed = FindObserved(machine_type);
  return observed == nullptr ? nominal_s : observed->median_s;
}

double BootTimes::LateThreshold(const std::string& machine_type, double nominal_s) const {
  // Boots that were quick for a while don't prove that slower ones fail: the cloud states its own.
  const double nominal = kNominalLateRatio * nominal_s;
  const Observed* observed = FindObserved(machine_type);
  return observed == nullptr ? nominal : std::max(nominal, observed->nearly_all_s);
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
