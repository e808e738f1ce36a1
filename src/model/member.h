// Controllers as members of their cluster (src/membership).
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace hallpier::model {

// One life of a node's process, and how often that process has refuted a suspicion. A higher one
// overrides all that was said of a lower one.
struct Incarnation {
  uint64_t session = 0;     // 0: none is known
  uint64_t refutation = 0;  // within the session
  auto operator<=>(const Incarnation&) const = default;
};

enum class MemberState : uint8_t { kAlive = 0, kSuspect = 1, kFailed = 2, kLeft = 3 };

// What the sender of a status has observed of another node.
struct MemberObservation {
  std::string node;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  // How long before it was sent the node was known to be alive; nothing: never.
  std::optional<uint64_t> last_heard_ms_ago;
  bool operator==(const MemberObservation&) const = default;
};

// How well a node is placed to lead.
struct LeadershipFitness {
  bool leading = false;
  bool reaches_state_service = false;  // the state service answers it without a relay
  uint64_t event_loop_lag_ms = 0;      // how late its event loop gets its turns, lately
  uint64_t recent_heartbeats = 0;      // that reached it in the last half of a report period
  bool operator==(const LeadershipFitness&) const = default;
};

}  // namespace hallpier::model
