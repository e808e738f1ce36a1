#include "wire/varint.h"

namespace hallpier::wire {
namespace {

// Each byte but the last has its highest bit set; the others hold seven bits of the number.
constexpr uint8_t kMoreFollows = 0x80;
constexpr int kBitsPerByte = 7;

}  // namespace

void PutVarint(std::string& out, uint64_t value) {
  while (value >= kMoreFollows) {
    out.push_back(static_cast<char>(value | kMoreFollows));
    value >>= kBitsPerByte;
  }
  out.push_back(static_cast<char>(value));
}

void PutBytes(std::string& out, std::string_view bytes) {
  PutVarint(out, bytes.size());
  out.append(bytes);
}

void PutFlag(std::string& out, bool flag) { PutVarint(out, flag ? 1 : 0); }

void PutNames(std::string& out, const std::vector<std::string>& names) {
  PutVarint(out, names.size());
  for (const std::string& name : names) PutBytes(out, name);
}

uint64_t VarintReader::Varint() {
  uint64_t value = 0;
  for (int i = 0; ok_ && i < kMaxVarintBytes && static_cast<size_t>(i) < data_.size(); ++i) {
    const auto byte = static_cast<uint8_t>(data_[static_cast<size_t>(i)]);
    // The tenth byte holds the last of 64 bits; more would be lost silently.
    if (i == kMaxVarintBytes - 1 && byte > 1) break;
    value |= static_cast<uint64_t>(byte & ~kMoreFollows) << (kBitsPerByte * i);
    if (byte < kMoreFollows) {
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

}  // namespace hallpier::wire
