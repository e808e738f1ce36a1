// The bytes of messages between controllers, in the varint codec.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"
#include "wire/peer_messages.h"

namespace hallpier::wire {

// Bytes of a frame's payload.
inline constexpr size_t kMaxPeerFrameBytes = size_t{256} * 1024;
// Cancellations in one frame; job ids are short.
inline constexpr size_t kMaxCancellationsPerFrame = 4096;

// What came, as far as its type can be told, and what is wrong with it; for a log.
struct MalformedMessage {
  std::string reason;
};

// The payload of a frame.
std::string WritePeerMessage(const PeerMessage& message);
Result<PeerMessage, MalformedMessage> ReadPeerMessage(std::string_view payload);
// What a message is, in words for a log or a console.
std::string_view PeerMessageName(const PeerMessage& message);

}  // namespace hallpier::wire
