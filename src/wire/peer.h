// What controllers say to each other, in the varint codec.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "wire/http.h"

namespace hallpier::wire {

// How a node sees the world; sent as a ping, and back as its answer.
struct PeerStatus {
  std::string node;
  uint64_t token = 0;  // the highest it knows
  bool leading = false;
  bool state_good = false;  // the state service answers it
  bool operator==(const PeerStatus&) const = default;
};

// A request to the state service on behalf of a node that is refused there.
struct RelayRequest {
  uint64_t id = 0;
  HttpRequest request;
};

struct RelayAnswer {
  uint64_t id = 0;
  bool answered = false;  // false: no answer came, or the peer would not try
  HttpResponse response;
};

using PeerMessage = std::variant<PeerStatus, RelayRequest, RelayAnswer>;

// The payload of a frame.
std::string WritePeerMessage(const PeerMessage& m);
std::optional<PeerMessage> ReadPeerMessage(std::string_view payload);

inline constexpr size_t kMaxPeerFrame = 256 * 1024;

}  // namespace hallpier::wire
