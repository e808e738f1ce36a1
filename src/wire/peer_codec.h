// Encodes and decodes the messages between controllers in the varint codec.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"
#include "wire/peer_messages.h"

namespace hallpier::wire {

// Limit on the payload of a frame.
inline constexpr size_t kMaxPeerFrameBytes = size_t{256} * 1024;
// Limit on the cancellations in one frame. Job ids are short, so they fit kMaxPeerFrameBytes.
inline constexpr size_t kMaxCancellationsPerFrame = 4096;

// Why a payload could not be decoded.
struct MalformedMessage {
  std::string reason;  // the type of the message, if it is known, and the error; for logs
};

// Returns the payload of a frame.
std::string WritePeerMessage(const PeerMessage& message);
Result<PeerMessage, MalformedMessage> ReadPeerMessage(std::string_view payload);
// Returns the type of a message in words, for logs and console output.
std::string_view PeerMessageName(const PeerMessage& message);

}  // namespace hallpier::wire
