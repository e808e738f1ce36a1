// Frames on the connections between controllers: the payload length as a varint, then the payload.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hallpier::wire {

// Returns the payload with its length in front.
std::string EncodeFrame(std::string_view payload);

// Splits a byte stream into frames.
class FrameDecoder {
 public:
  // `max_payload_bytes` bounds the payload of a frame; the stream is corrupt if one is longer.
  explicit FrameDecoder(size_t max_payload_bytes) : max_payload_bytes_(max_payload_bytes) {}

  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Returns the next payload, or std::nullopt if more bytes are needed or the stream is corrupt.
  std::optional<std::string> Next();
  // True once an invalid frame was found; Next() then returns only std::nullopt.
  bool corrupt() const { return corrupt_; }

 private:
  const size_t max_payload_bytes_;
  std::string buffer_;
  bool corrupt_ = false;
};

}  // namespace hallpier::wire
