// Observed boot times by machine type, and how long to wait for a machine that is not up yet.
//
// Owned by WorkerRegistry; lives on the event loop's thread. Does no I/O and takes the time as an
// argument, in seconds of the steady clock.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace hallpier::fleet {

class BootTimes {
 public:
  // A machine has reported for the first time, `seconds` after it was requested.
  void OnBooted(const std::string& machine_type, double seconds, double now);

  // Seconds after which a machine of the type is most likely up: the median of the observed boots,
  // or `nominal_s`, the boot time that the cloud states, until a few have been observed.
  double Expected(const std::string& machine_type, double nominal_s) const;
  // Seconds within which nearly all machines of the type are up. One that takes longer is late.
  double LateThreshold(const std::string& machine_type, double nominal_s) const;
  // Age in seconds at which a machine that is not up is given up. `late`: how many machines of the
  // type are late now. If these are more than have come up lately, boots are slow rather than the
  // machines dead: to terminate them would only start the same wait over.
  double Deadline(const std::string& machine_type, double nominal_s, size_t late, double now) const;

 private:
  struct Boot {
    double seconds = 0;
    double observed_at = 0;
  };
  // Rounds ask for every machine that is not up: quantiles are computed once for each new boot.
  struct Observed {
    std::deque<Boot> boots;
    double median_s = 0;
    double nearly_all_s = 0;
    bool stale = true;
  };
  // The observed boots of a type with their quantiles; null while there are too few.
  const Observed* FindObserved(const std::string& machine_type) const;
  // The number of boots that were observed within the last `seconds`.
  size_t CountRecent(const std::string& machine_type, double seconds, double now) const;

  mutable std::map<std::string, Observed> observed_;
};

}  // namespace hallpier::fleet
