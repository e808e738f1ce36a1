#include "simulation/simulated_process.h"

#include <utility>

namespace hallpier::testing_support {

void SimulatedProcess::Start() {
  running_ = true;
  frozen_ = false;
  ++generation_;
}

void SimulatedProcess::End() {
  running_ = false;
  frozen_ = false;
  backlog_.clear();
  ++generation_;
}

void SimulatedProcess::Resume() {
  frozen_ = false;
  const std::vector<std::function<void()>> backlog = std::exchange(backlog_, {});
  for (const auto& run : backlog) run();
}

void SimulatedProcess::RunOrDefer(uint64_t generation, const std::function<void()>& run) {
  if (generation_ != generation) return;
  if (frozen_) {
    backlog_.emplace_back([this, generation, run] { RunOrDefer(generation, run); });
  } else {
    run();
  }
}

}  // namespace hallpier::testing_support
