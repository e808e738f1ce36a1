// The resources that a task requires or a machine provides: processors, GPUs and memory.
// Header-only because the comparisons are in the inner loops of the mapping. Plain values without
// shared state.
#pragma once

#include <cmath>

#include "model/job.h"
#include "model/machine_type.h"

namespace hallpier::plan {

// Sums and differences of fractional requirements (0.1 + 0.2) are inexact. A millionth of a
// processor or of a gigabyte is far larger than such an error and far smaller than any task's
// requirement.
inline constexpr double kCapacityTolerance = 1e-6;

// The quotient of an amount and a requirement that divides it evenly may be rounded to slightly
// less than the integer.
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
  // Returns true if `need` fits into these resources, up to kCapacityTolerance.
  bool Fits(const Resources& need) const {
    return need.cpus <= cpus + kCapacityTolerance && need.gpus <= gpus + kCapacityTolerance &&
           need.memory_gb <= memory_gb + kCapacityTolerance;
  }
};

// Returns the requirement of one task of the job.
inline Resources RequirementOf(const model::JobSpec& spec) {
  return {spec.cpus, spec.gpus, spec.memory_gb};
}

// Returns the resources of an empty machine of the type.
inline Resources CapacityOf(const model::MachineType& machine_type) {
  return {machine_type.cpus, machine_type.gpus, machine_type.memory_gb};
}

// Returns how many times `amount` covers `need`, rounded down; negative if `amount` is negative.
// Requires `need` > 0.
inline double WholeQuotient(double amount, double need) {
  return std::floor(amount / need + kQuotientTolerance);
}

}  // namespace hallpier::plan
