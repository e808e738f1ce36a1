// The binary codec of the messages between controllers: little-endian base-128 varints, and strings
// prefixed with their length.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hallpier::wire {

// The longest encoding of a 64-bit number.
inline constexpr int kMaxVarintBytes = 10;

void PutVarint(std::string& out, uint64_t value);
// Appends the length, then the bytes.
void PutBytes(std::string& out, std::string_view bytes);
void PutFlag(std::string& out, bool flag);
// Appends the count, then each string.
void PutStrings(std::string& out, const std::vector<std::string>& strings);

template <class E>
void PutEnum(std::string& out, E value) {
  PutVarint(out, static_cast<uint64_t>(value));
}

// Reads values from the front of a buffer. After the first truncated or malformed value, ok() stays
// false. The `field` parameters name the value in error messages.
class VarintReader {
 public:
  explicit VarintReader(std::string_view data) : data_(data) {}

  uint64_t Varint();
  std::string_view Bytes();
  bool Flag() { return Varint() != 0; }
  // Reads the count of the items that follow, each of at least one byte. Rejects a count above
  // `max` and returns 0 for it.
  uint64_t Count(std::string_view field, uint64_t max);
  // Reads an enumerator. Rejects a value above `last` and returns `last` for it.
  template <class E>
  E Enum(std::string_view field, E last) {
    const uint64_t number = Varint();
    if (number <= static_cast<uint64_t>(last)) return static_cast<E>(number);
    Reject(field, number);
    return last;
  }
  // Reads a count of at most `max` and then that many items, each with `read(reader)`.
  template <class F>
  auto List(std::string_view field, uint64_t max, F read) {
    std::vector<decltype(read(*this))> items;
    const uint64_t count = Count(field, max);
    for (uint64_t i = 0; i < count && ok_; ++i) items.push_back(read(*this));
    return items;
  }
  std::vector<std::string> Strings(std::string_view field, uint64_t max) {
    return List(field, max, [](VarintReader& reader) { return std::string(reader.Bytes()); });
  }

  // Marks the value read for `field` as invalid. Only the first error is kept.
  void Reject(std::string_view field, uint64_t value);
  bool ok() const { return ok_; }
  // Describes the first error, for logs; empty while ok().
  const std::string& error() const { return error_; }
  // True if the whole buffer was read without an error.
  bool Finished() const { return ok_ && data_.empty(); }

 private:
  void Fail(std::string error);

  std::string_view data_;
  bool ok_ = true;
  std::string error_;
};

}  // namespace hallpier::wire
