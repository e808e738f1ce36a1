// What workers and the leader say to each other: heartbeats with status, and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/ids.h"
#include "model/task.h"

namespace hallpier::model {

// Sent by the agent of a worker at every heartbeat interval, and as the answer to commands.
struct Heartbeat {
  std::string machine;
  std::string endpoint;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  AgentEpoch agent_epoch;               // one life of the agent; ends with its lease
  uint64_t sequence = 0;                // orders the heartbeats of an epoch
  FencingToken token;                   // the highest fencing token that the agent has seen
  std::optional<double> spot_notice_s;  // seconds until the cloud takes the machine back
  std::vector<TaskStatus> tasks;        // all that the agent knows of
};

// kForget: an exited task need not be reported any more.
enum class CommandKind { kRun, kStop, kForget };

struct WorkerCommand {
  CommandKind kind = CommandKind::kRun;
  TaskId task;
  uint64_t attempt = 0;
  double grace_s = 0;  // kStop: time to write a checkpoint
};

}  // namespace hallpier::model
