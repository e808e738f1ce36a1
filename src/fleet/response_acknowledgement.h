// Detects machines whose heartbeats arrive although our answers to them get lost (an asymmetric
// partition).
//
// An answer should have an effect that the next heartbeat shows: the agent has seen our token, and
// lists the tasks that it had to start. Works on ResponseState of a Machine; does no I/O.
#pragma once

#include <vector>

#include "fleet/machine.h"
#include "model/heartbeat.h"
#include "model/ids.h"

namespace hallpier::fleet {

// A machine with this many answers without effect gets no new tasks.
inline constexpr int kMinUnacknowledgedToBarTasks = 2;

// Compares a heartbeat with the answer to the one before it. Must be called before the heartbeat is
// taken into the machine's state. `token`: ours. `lease_s`: length of an agent's lease in seconds.
void CheckAcknowledgement(Machine& machine, const model::Heartbeat& report,
                          model::FencingToken token, double lease_s, double now);

// Notes what the answer to the machine's newest heartbeat should change there.
void ExpectAcknowledgement(Machine& machine, const std::vector<model::WorkerCommand>& commands,
                           model::FencingToken token);

// True if so many answers in a row had no effect that they most likely get lost.
bool AreAnswersLost(const Machine& machine, double lease_s, double now);

}  // namespace hallpier::fleet
