// Encodes and decodes the JSON of the workers' protocol: heartbeats and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/heartbeat.h"
#include "model/ids.h"

namespace hallpier::wire {

// Returns std::nullopt if the body is malformed. One unreadable task makes the whole heartbeat
// malformed: a task that is missing from the list counts as proof that the machine does not run it.
std::optional<model::Heartbeat> ReadHeartbeat(std::string_view body);
std::string WriteHeartbeatResponse(model::FencingToken token,
                                   const std::vector<model::WorkerCommand>& commands);
// Commands that the leader sends directly to a worker. Only an agent whose epoch is `agent_epoch`
// executes them.
std::string WriteDirectCommands(model::FencingToken token, model::AgentEpoch agent_epoch,
                                const std::vector<model::WorkerCommand>& commands);
// The response to a worker that contacts a node that is not the leader. `leader` is empty if there
// is no known leader.
std::string WriteRedirect(std::string_view leader);

}  // namespace hallpier::wire
