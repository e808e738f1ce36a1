// The process of a simulated node: it can be frozen, resumed, terminated and restarted. Events that
// arrive while the process is frozen are buffered until it resumes. Events for an earlier process
// of the same node are dropped.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

namespace hallpier::testing_support {

class SimulatedProcess {
 public:
  // Distinguishes this process of the node from earlier and later ones.
  uint64_t generation() const { return generation_; }
  bool running() const { return running_; }
  bool frozen() const { return frozen_; }

  // Starts a new process. A previous process that still runs receives no more events.
  void Start();
  void End();
  void Freeze() { frozen_ = true; }
  // Resumes the process and runs the buffered events.
  void Resume();
  // Runs `run` in the process with this generation: immediately, or on Resume() if the process is
  // frozen. Drops `run` if that process has ended.
  void RunOrDefer(uint64_t generation, const std::function<void()>& run);

 private:
  uint64_t generation_ = 0;
  bool running_ = false;
  bool frozen_ = false;
  std::vector<std::function<void()>> backlog_;
};

}  // namespace hallpier::testing_support
