// What a round decides about one task. Plain data.
#pragma once

#include <cstdint>
#include <string>

#include "model/task.h"

namespace hallpier::jobs {

struct TaskTransition {
  enum class Kind {
    kPlace,    // the task is placed on `machine` as attempt `attempt`
    kRequeue,  // the attempt ended without success, or is given up: the task waits again
    kDone,     // the attempt ended with success
  };
  Kind kind = Kind::kPlace;
  model::TaskId task;
  uint64_t attempt = 0;
  std::string machine;
  double run_s = 0;          // kDone: run time in seconds; 0 if unknown
  std::string machine_type;  // kDone
  double known_for_s = 0;    // kDone: seconds since this node learned of it
  std::string reason;        // kRequeue: the reason, for the log
};

}  // namespace hallpier::jobs
