// Observed boot times by machine type, and how long to wait for a machine that is not up yet. Does
// no I/O and takes the time as an argument.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace hallpier::fleet {

class BootTimes {
 public:
  // A machine was first heard of `seconds` after its rental was requested.
  void OnBooted(const std::string& machine_type, double seconds, double now);

  // Time after which a machine of the type is most likely up; the cloud's nominal time until a few
  // boots have been observed.
  double Expected(const std::string& machine_type, double nominal_s) const;
  // Time within which nearly all machines of the type are up. Who takes longer is late.
  double LateAfter(const std::string& machine_type, double nominal_s) const;
  // Age at which a machine that is not up is given up. `late`: how many machines of the type are
  // late now. Where these are more than have come up lately, boots are slow rather than the
  // machines dead: to return them would only start the same wait over.
  double Deadline(const std::string& machine_type, double nominal_s, size_t late, double now) const;

 private:
  struct Boot {
    double seconds = 0;
    double at = 0;
  };
  // Rounds ask for every machine that is not up: quantiles are taken once for each new boot.
  struct Observed {
    std::deque<Boot> boots;
    double median_s = 0;
    double nearly_all_s = 0;
    bool stale = true;
  };
  // The observed boots of a type with their quantiles; null while there are too few.
  const Observed* Find(const std::string& machine_type) const;
  // Boots that were observed within the last `seconds`.
  size_t Since(const std::string& machine_type, double seconds, double now) const;

  mutable std::map<std::string, Observed> observed_;
};

}  // namespace hallpier::fleet
