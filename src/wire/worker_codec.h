// Heartbeats and commands in the JSON of the workers' protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/heartbeat.h"
#include "model/ids.h"

namespace hallpier::wire {

// Nothing if it is malformed. A list of tasks with an entry that can't be read is malformed as a
// whole: it would prove the absence of a task that it fails to name.
std::optional<model::Heartbeat> ReadHeartbeat(std::string_view body);
std::string WriteHeartbeatResponse(model::FencingToken token,
                                   const std::vector<model::WorkerCommand>& commands);
// A direct command, which only the agent epoch that it names carries out.
std::string WriteDirectCommands(model::FencingToken token, model::AgentEpoch agent_epoch,
                                const std::vector<model::WorkerCommand>& commands);
// For a worker that asks a node that does not lead. Empty: there is no leader to name.
std::string WriteRedirect(std::string_view leader);

}  // namespace hallpier::wire
