// Random numbers of a simulation, all from one seed.
#pragma once

#include <cstdint>
#include <random>

namespace hallpier::testing_support {

class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  // Returns a number of at least `min` and less than `max`.
  double Uniform(double min, double max) {
    return std::uniform_real_distribution<double>(min, max)(engine_);
  }
  // Returns a random number other than 0.
  uint64_t Identifier() { return std::uniform_int_distribution<uint64_t>(1)(engine_); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace hallpier::testing_support
