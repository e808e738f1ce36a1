// An amount of those resources that team limits apply to.
#pragma once

#include <algorithm>

namespace hallpier::quota {

// Sums of decimal fractions that differ by no more than this are considered equal.
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

// Returns the larger amount of each kind of resource.
inline Amount Max(const Amount& a, const Amount& b) {
  return {std::max(a.cpus, b.cpus), std::max(a.gpus, b.gpus)};
}

}  // namespace hallpier::quota
