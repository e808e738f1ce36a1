// Records observed boot times per machine type, and derives from them how long to wait for a
// booting machine.
//
// Owned by WorkerRegistry; used on the event loop's thread. Does no I/O. Times are passed in, in
// seconds of the steady clock.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace hallpier::fleet {

class BootTimes {
 public:
  // Records the boot of a machine that first reported `seconds` after it was requested.
  void OnBooted(const std::string& machine_type, double seconds, double now);

  // Returns the expected boot time in seconds: the median of the observed boots. Until enough boots
  // have been observed, returns `nominal_s`, the boot time stated by the cloud.
  double Expected(const std::string& machine_type, double nominal_s) const;
  // Returns the boot time in seconds above which a machine counts as late. Nearly all machines of
  // the type boot faster.
  double LateThreshold(const std::string& machine_type, double nominal_s) const;
  // Returns the age in seconds at which to give up on a booting machine. `late`: number of machines
  // of the type that are late now. If more machines are late than have booted recently, boots are
  // slow and the machines are probably not dead. The deadline is longer then, as terminating the
  // machines would only restart the same wait.
  double Deadline(const std::string& machine_type, double nominal_s, size_t late, double now) const;

 private:
  struct Boot {
    double seconds = 0;
    double observed_at = 0;
  };
  // Quantiles are cached until the next boot is recorded, because every round queries them for each
  // booting machine.
  struct TypeHistory {
    std::deque<Boot> boots;
    double median_s = 0;
    double late_s = 0;
    bool quantiles_stale = true;
  };
  // Returns the history of a type with current quantiles; null if it has too few boots.
  const TypeHistory* FindHistory(const std::string& machine_type) const;
  // Returns the number of boots that were observed within the last `seconds`.
  size_t CountRecent(const std::string& machine_type, double seconds, double now) const;

  mutable std::map<std::string, TypeHistory> histories_;
};

}  // namespace hallpier::fleet
