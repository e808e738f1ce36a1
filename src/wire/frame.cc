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
  if (size > max_payload_bytes_) {
    corrupt_ = true;
    return std::nullopt;
  }
  std::string header;
  PutVarint(header, size);
  if (buffer_.size() < header.size() + size) return std::nullopt;
  // Controllers encode the length in as few bytes as possible, so a longer encoding does not come
  // from a controller.
  if (buffer_.compare(0, header.size(), header) != 0) {
    corrupt_ = true;
    return std::nullopt;
  }
  std::string payload = buffer_.substr(header.size(), size);
  buffer_.erase(0, header.size() + size);
  return payload;
}

}  // namespace hallpier::wire
