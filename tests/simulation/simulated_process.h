// The life of a node's process in a simulation: it runs, stands still and goes on, ends and is
// started anew. What comes while it stands still is in its buffers when it goes on; what was meant
// for an earlier process of the same node is dropped.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

namespace hallpier::testing_support {

class SimulatedProcess {
 public:
  // Tells this process of the node from earlier and later ones.
  uint64_t number() const { return number_; }
  bool running() const { return running_; }
  bool frozen() const { return frozen_; }

  // Begins a new process. One that still runs is left behind: it gets no more turns.
  void Start();
  void End();
  void Freeze() { frozen_ = true; }
  // Goes on, with all that came meanwhile.
  void Resume();
  // Runs `run` when the process of that number gets its turn: at once, when it goes on, or never if
  // it has ended.
  void InTurn(uint64_t number, const std::function<void()>& run);

 private:
  uint64_t number_ = 0;
  bool running_ = false;
  bool frozen_ = false;
  std::vector<std::function<void()>> backlog_;
};

}  // namespace hallpier::testing_support
