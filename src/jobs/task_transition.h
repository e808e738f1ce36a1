// A state change of one task that a round decides. Plain data.
#pragma once

#include <cstdint>
#include <string>

#include "model/task.h"

namespace hallpier::jobs {

struct TaskTransition {
  enum class Kind {
    kPlace,    // places the task on `machine` as attempt `attempt`
    kRequeue,  // the attempt failed or is abandoned; the task waits for another placement
    kDone,     // the attempt succeeded
  };
  Kind kind = Kind::kPlace;
  model::TaskId task;
  uint64_t attempt = 0;
  std::string machine;
  double run_s = 0;          // kDone: run time; 0 if unknown
  std::string machine_type;  // kDone
  double known_for_s = 0;    // kDone: time since this node learned of the end
  std::string reason;        // kRequeue: for logs
};

}  // namespace hallpier::jobs
