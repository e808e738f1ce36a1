// The random numbers of a simulation, all from one seed.
#pragma once

#include <cstdint>
#include <random>

namespace hallpier::testing_support {

class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  // At least `least`, less than `most`.
  double Uniform(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(engine_);
  }
  // Any number but 0.
  uint64_t Identifier() { return std::uniform_int_distribution<uint64_t>(1)(engine_); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace hallpier::testing_support
