#include "wire/frame.h"

#include "wire/varint.h"

namespace hallpier::wire {

std::string EncodeFrame(std::string_view payload) {
  std::string out;
  PutBytes(out, payload);
  return out;
}

std::optional<std::string> FrameDecoder::Next() {
  if (corrupt_) return std::nullopt;
  VarintReader reader(buffer_);
  const uint64_t size = reader.Varint();
  if (!reader.ok()) {
    corrupt_ = buffer_.size() >= kMaxVarintBytes;
    return std::nullopt;
  }
  if (size > max_frame_) {
    corrupt_ = true;
    return std::nullopt;
  }
  std::string head;
  PutVarint(head, size);
  if (buffer_.size() < head.size() + size) return std::nullopt;
  // A length written in more bytes than it needs is none of ours.
  if (buffer_.compare(0, head.size(), head) != 0) {
    corrupt_ = true;
    return std::nullopt;
  }
  std::string payload = buffer_.substr(head.size(), size);
  buffer_.erase(0, head.size() + size);
  return payload;
}

}  // namespace hallpier::wire
