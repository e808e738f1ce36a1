// What a task takes and what a machine offers: processors, GPUs and memory. Header-only, since the
// comparisons stand in the inner loops of the mapping. Plain values without shared state.
#pragma once

#include <cmath>

#include "model/job.h"
#include "model/machine_type.h"

namespace hallpier::plan {

// Sums and differences of fractional requirements (0.1 + 0.2) are not exact. A millionth of a
// processor, or of a gigabyte, is far more than such an error and far less than any task asks for.
inline constexpr double kCapacityTolerance = 1e-6;

// The quotient of an amount and a requirement that divides it evenly may come out just below the
// whole number.
inline constexpr double kQuotientTolerance = 1e-9;

struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
  // True if `need` fits into this, up to kCapacityTolerance.
  bool Fits(const Resources& need) const {
    return need.cpus <= cpus + kCapacityTolerance && need.gpus <= gpus + kCapacityTolerance &&
           need.memory_gb <= memory_gb + kCapacityTolerance;
  }
};

// What one task of the job takes.
inline Resources RequirementOf(const model::JobSpec& spec) {
  return {spec.cpus, spec.gpus, spec.memory_gb};
}

// What an empty machine of the type offers.
inline Resources CapacityOf(const model::MachineType& machine_type) {
  return {machine_type.cpus, machine_type.gpus, machine_type.memory_gb};
}

// How many requirements of `need` (more than 0) an amount covers; negative if the amount is.
inline double WholeQuotient(double amount, double need) {
  return std::floor(amount / need + kQuotientTolerance);
}

}  // namespace hallpier::plan
