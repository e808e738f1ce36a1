#include "simulation/simulated_process.h"

#include <utility>

namespace hallpier::testing_support {

void SimulatedProcess::Start() {
  running_ = true;
  frozen_ = false;
  ++number_;
}

void SimulatedProcess::End() {
  running_ = false;
  frozen_ = false;
  backlog_.clear();
  ++number_;
}

void SimulatedProcess::Resume() {
  frozen_ = false;
  const std::vector<std::function<void()>> backlog = std::exchange(backlog_, {});
  for (const auto& run : backlog) run();
}

void SimulatedProcess::InTurn(uint64_t number, const std::function<void()>& run) {
  if (number_ != number) return;
  if (frozen_) {
    backlog_.emplace_back([this, number, run] { InTurn(number, run); });
  } else {
    run();
  }
}

}  // namespace hallpier::testing_support
