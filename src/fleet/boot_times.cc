#include "fleet/boot_times.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hallpier::fleet {
namespace {

// Boots remembered for each type: more than come in one wave, or its slowest would be all there is.
// And how many tell more than the nominal time does.
constexpr size_t kRemembered = 1000;
constexpr size_t kEnough = 5;
constexpr double kMedian = 0.5;
constexpr double kNearlyAll = 0.9;
// Without observations, nearly all machines are up within this many nominal boot times.
constexpr double kUsualRatio = 2;
// A machine is given up after this many of the usual boot times, and not before so many nominal
// ones: it has been replaced by then, and most late machines do come up...
constexpr double kDeadlineRatio = 1.3;
constexpr double kLeastDeadline = 4;
// ...unless boots are slow, when it has this many nominal boot times.
constexpr double kSlowBoots = 8;
// Fewer late machines than this tell nothing about the others.
constexpr size_t kManyLate = 3;

// The value that the given part of the sorted ones does not exceed.
double Quantile(const std::vector<double>& sorted, double share) {
  const auto rank = std::ceil(share * static_cast<double>(sorted.size())) - 1;
  return sorted[static_cast<size_t>(rank)];
}

}  // namespace

void BootTimes::OnBooted(const std::string& machine_type, double seconds, double now) {
  Observed& observed = observed_[machine_type];
  observed.boots.push_back({seconds, now});
  if (observed.boots.size() > kRemembered) observed.boots.pop_front();
  observed.stale = true;
}

const BootTimes::Observed* BootTimes::Find(const std::string& machine_type) const {
  auto it = observed_.find(machine_type);
  if (it == observed_.end() || it->second.boots.size() < kEnough) return nullptr;
  Observed& observed = it->second;
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

size_t BootTimes::Since(const std::string& machine_type, double seconds, double now) const {
  auto it = observed_.find(machine_type);
  if (it == observed_.end()) return 0;
  const std::deque<Boot>& boots = it->second.boots;
  const auto recent = std::count_if(boots.begin(), boots.end(),
                                    [&](const Boot& boot) { return now - boot.at <= seconds; });
  return static_cast<size_t>(recent);
}

double BootTimes::Expected(const std::string& machine_type, double nominal_s) const {
  const Observed* observed = Find(machine_type);
  return observed == nullptr ? nominal_s : observed->median_s;
}

double BootTimes::LateAfter(const std::string& machine_type, double nominal_s) const {
  // Boots that were quick for a while don't make the cloud's own word void.
  const double nominal = kUsualRatio * nominal_s;
  const Observed* observed = Find(machine_type);
  return observed == nullptr ? nominal : std::max(nominal, observed->nearly_all_s);
}

double BootTimes::Deadline(const std::string& machine_type, double nominal_s, size_t late,
                           double now) const {
  const double deadline =
      std::max(kLeastDeadline * nominal_s, kDeadlineRatio * LateAfter(machine_type, nominal_s));
  const double slow = kSlowBoots * nominal_s;
  const bool boots_are_slow = late >= kManyLate && late > Since(machine_type, slow, now);
  return boots_are_slow ? std::max(deadline, slow) : deadline;
}

}  // namespace hallpier::fleet
