#include "wire/varint.h"

namespace hallpier::wire {
namespace {

// Each byte holds seven bits of the number. The highest bit is set in all bytes but the last.
constexpr uint8_t kContinuationBit = 0x80;
constexpr int kBitsPerByte = 7;

}  // namespace

void PutVarint(std::string& out, uint64_t value) {
  while (value >= kContinuationBit) {
    out.push_back(static_cast<char>(value | kContinuationBit));
    value >>= kBitsPerByte;
  }
  out.push_back(static_cast<char>(value));
}

void PutBytes(std::string& out, std::string_view bytes) {
  PutVarint(out, bytes.size());
  out.append(bytes);
}

void PutFlag(std::string& out, bool flag) { PutVarint(out, flag ? 1 : 0); }

void PutStrings(std::string& out, const std::vector<std::string>& strings) {
  PutVarint(out, strings.size());
  for (const std::string& string : strings) PutBytes(out, string);
}

uint64_t VarintReader::Varint() {
  uint64_t value = 0;
  for (int i = 0; ok_ && i < kMaxVarintBytes && static_cast<size_t>(i) < data_.size(); ++i) {
    const auto byte = static_cast<uint8_t>(data_[static_cast<size_t>(i)]);
    // The tenth byte holds only the last of 64 bits; further bits would be lost silently.
    if (i == kMaxVarintBytes - 1 && byte > 1) break;
    value |= static_cast<uint64_t>(byte & ~kContinuationBit) << (kBitsPerByte * i);
    if (byte < kContinuationBit) {
      data_.remove_prefix(static_cast<size_t>(i) + 1);
      return value;
    }
  }
  Fail(data_.size() < kMaxVarintBytes ? "truncated" : "number longer than 64 bits");
  return 0;
}

void VarintReader::Fail(std::string error) {
  if (!ok_) return;
  ok_ = false;
  error_ = std::move(error);
}

void VarintReader::Reject(std::string_view field, uint64_t value) {
  Fail(std::string(field) + " has the invalid value " + std::to_string(value));
}

uint64_t VarintReader::Count(std::string_view field, uint64_t max) {
  const uint64_t count = Varint();
  if (count <= max) return count;
  Reject(field, count);
  return 0;
}

std::string_view VarintReader::Bytes() {
  const uint64_t size = Varint();
  if (!ok_) return {};
  if (size > data_.size()) {
    Fail("truncated");
    return {};
  }
  std::string_view out = data_.substr(0, size);
  data_.remove_prefix(size);
  return out;
}

}  // namespace hallpier::wire
