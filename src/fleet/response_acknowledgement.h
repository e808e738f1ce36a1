// Detects asymmetric partitions: machines whose heartbeats arrive while our responses are lost.
//
// The next heartbeat after a response should show that the agent received it: it carries our token
// and lists the tasks that the response told the agent to start. Operates on Machine::responses;
// does no I/O.
#pragma once

#include <vector>

#include "fleet/machine.h"
#include "model/heartbeat.h"
#include "model/ids.h"

namespace hallpier::fleet {

// A machine with this many unacknowledged responses gets no new tasks.
inline constexpr int kMinUnacknowledgedToExclude = 2;

// Checks whether a heartbeat acknowledges the response to the previous heartbeat. Must be called
// before the machine's state is updated from the heartbeat. `token`: this leader's token; responses
// under a lower one don't count. `lease_s`: duration of an agent's lease in seconds.
void CheckAcknowledgement(Machine& machine, const model::Heartbeat& report,
                          model::FencingToken token, double lease_s, double now);

// Stores the effect that the response to the machine's newest heartbeat should have. `commands`:
// those in the response. `token`: the token of the response.
void ExpectAcknowledgement(Machine& machine, const std::vector<model::WorkerCommand>& commands,
                           model::FencingToken token);

// True if enough consecutive responses are unacknowledged that they are probably lost.
bool HasLostResponses(const Machine& machine, double lease_s, double now);

}  // namespace hallpier::fleet
