// An amount of what team limits are stated in.
#pragma once

#include <algorithm>

namespace hallpier::quota {

// Sums of decimal fractions are equal within this.
inline constexpr double kTolerance = 1e-9;

struct Amount {
  double cpus = 0;
  double gpus = 0;

  Amount& operator+=(const Amount& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    return *this;
  }
  Amount& operator-=(const Amount& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    return *this;
  }
  friend Amount operator+(Amount a, const Amount& b) { return a += b; }
  friend Amount operator-(Amount a, const Amount& b) { return a -= b; }
  friend Amount operator*(double factor, const Amount& a) {
    return {factor * a.cpus, factor * a.gpus};
  }
  bool operator==(const Amount&) const = default;
};

// The larger of both in each kind.
inline Amount Max(const Amount& a, const Amount& b) {
  return {std::max(a.cpus, b.cpus), std::max(a.gpus, b.gpus)};
}

}  // namespace hallpier::quota
