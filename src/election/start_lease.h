// The start lease: how long a leader may start tasks without learning of new cancellations.
//
// Guards against the following failure: a leader is cut off from the state service and the other
// nodes, but not from its workers. Another node acknowledges a cancellation to a user, and then the
// leader starts a task of the cancelled job, because its watch cache shows the job as it was.
//
// Both sides of the agreement use the durations below, so all nodes must have the same values:
//   - a leader starts tasks of a job only within kStartLeaseS after a time up to which it knows all
//     cancellations of that job (CancellationWatermark::MayStartTasks, StartPermission);
//   - a node acknowledges a cancellation to a user only once every node that may hold a start lease
//     knows the cancellation, or kStartLeaseExpiryS after it was recorded (CancellationFence).
#pragma once

namespace hallpier::election {

// Long enough for a read of the state service that the start waits for. Short enough for a poll,
// which users give up after 2 s, to look the job up and then wait for the end of the lease.
inline constexpr double kStartLeaseS = 1.0;
// The same time on the clock of another node, with the largest clock drift and the time from the
// check of the lease to the sending of the command.
inline constexpr double kStartLeaseExpiryS = 1.1;

}  // namespace hallpier::election
