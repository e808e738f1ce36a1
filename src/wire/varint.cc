#include "wire/varint.h"

namespace hallpier::wire {
namespace {
constexpr int kMaxVarintBytes = 10;
}  // namespace

void PutVarint(std::string& out, uint64_t value) {
  while (value >= 0x80) {
    out.push_back(static_cast<char>(value | 0x80));
    value >>= 7;
  }
  out.push_back(static_cast<char>(value));
}

void PutBytes(std::string& out, std::string_view bytes) {
  PutVarint(out, bytes.size());
  out.append(bytes);
}

uint64_t VarintReader::Varint() {
  uint64_t value = 0;
  for (int i = 0; ok_ && i < kMaxVarintBytes && static_cast<size_t>(i) < data_.size(); ++i) {
    const auto byte = static_cast<uint8_t>(data_[static_cast<size_t>(i)]);
    // The tenth byte holds the last of 64 bits; more would be lost without a word.
    if (i == kMaxVarintBytes - 1 && byte > 1) break;
    value |= static_cast<uint64_t>(byte & 0x7f) << (7 * i);
    if (byte < 0x80) {
      data_.remove_prefix(static_cast<size_t>(i) + 1);
      return value;
    }
  }
  Fail(data_.size() < kMaxVarintBytes ? "cut short" : "a number of more than 64 bits");
  return 0;
}

void VarintReader::Fail(std::string fault) {
  if (!ok_) return;
  ok_ = false;
  fault_ = std::move(fault);
}

void VarintReader::Refuse(std::string_view field, uint64_t value) {
  Fail(std::string(field) + " can't be " + std::to_string(value));
}

uint64_t VarintReader::Count(std::string_view field, uint64_t most) {
  const uint64_t count = Varint();
  if (count <= most) return count;
  Refuse(field, count);
  return 0;
}

std::string_view VarintReader::Bytes() {
  const uint64_t size = Varint();
  if (!ok_) return {};
  if (size > data_.size()) {
    Fail("cut short");
    return {};
  }
  std::string_view out = data_.substr(0, size);
  data_.remove_prefix(size);
  return out;
}

std::string Frame(std::string_view payload) {
  std::string out;
  PutBytes(out, payload);
  return out;
}

std::optional<std::string> FrameBuffer::Next() {
  if (corrupt_) return std::nullopt;
  VarintReader r(buffer_);
  const uint64_t size = r.Varint();
  if (!r.ok()) {
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
