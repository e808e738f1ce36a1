// Cluster membership of the controllers (src/membership).
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace hallpier::model {

// Identifies a run of a node's process (`session`) and counts how often that process has refuted a
// suspicion. Information about a higher incarnation overrides all information about a lower one.
struct Incarnation {
  uint64_t session = 0;     // 0: no session is known
  uint64_t refutation = 0;  // number of refutations within the session
  auto operator<=>(const Incarnation&) const = default;
};

enum class MemberState : uint8_t { kAlive = 0, kSuspect = 1, kFailed = 2, kLeft = 3 };

// The state of another node as observed by the sender of a status message.
struct MemberObservation {
  std::string node;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  // Time between the last sign of life from the node and the sending of this message; std::nullopt
  // if there was none.
  std::optional<uint64_t> last_heard_ms_ago;
  bool operator==(const MemberObservation&) const = default;
};

// Indicators of how well a node can serve as the leader.
struct LeadershipFitness {
  bool leading = false;
  bool reaches_state_service = false;  // the state service answers this node without a relay
  uint64_t event_loop_lag_ms = 0;      // how late the event loop's recent turns were
  uint64_t recent_heartbeats = 0;      // received in the last half of a heartbeat interval
  bool operator==(const LeadershipFitness&) const = default;
};

}  // namespace hallpier::model
