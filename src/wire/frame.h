// Frames of the links between controllers: one length and one payload.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hallpier::wire {

std::string EncodeFrame(std::string_view payload);

// Takes frames out of a byte stream.
class FrameDecoder {
 public:
  // `max_frame`: bytes of a payload; a longer frame makes the stream corrupt.
  explicit FrameDecoder(size_t max_frame) : max_frame_(max_frame) {}

  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // The next payload; nothing if more bytes are needed or the stream is corrupt.
  std::optional<std::string> Next();
  bool corrupt() const { return corrupt_; }

 private:
  const size_t max_frame_;
  std::string buffer_;
  bool corrupt_ = false;
};

}  // namespace hallpier::wire
