// Messages between workers and the leader: heartbeats that carry status, and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/ids.h"
#include "model/task.h"

namespace hallpier::model {

// Sent by a worker's agent once per heartbeat interval and in response to direct commands.
struct Heartbeat {
  std::string machine;
  std::string endpoint;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  AgentEpoch agent_epoch;               // incarnation of the agent; ends when its lease expires
  uint64_t sequence = 0;                // orders the heartbeats within an epoch
  FencingToken token;                   // highest fencing token that the agent has seen
  std::optional<double> spot_notice_s;  // seconds until the cloud reclaims the spot machine
  std::vector<TaskStatus> tasks;        // every task that the agent knows
};

// kForget acknowledges an exited task: the agent stops reporting it.
enum class CommandKind { kRun, kStop, kForget };

struct WorkerCommand {
  CommandKind kind = CommandKind::kRun;
  TaskId task;
  uint64_t attempt = 0;
  double grace_s = 0;  // kStop only: time that the task gets to write a checkpoint
};

}  // namespace hallpier::model
