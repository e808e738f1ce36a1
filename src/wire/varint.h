// The binary codec of the links between controllers: little-endian base-128 numbers, and texts with
// their length before them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hallpier::wire {

// Bytes of the longest number.
inline constexpr int kMaxVarintBytes = 10;

void PutVarint(std::string& out, uint64_t value);
void PutBytes(std::string& out, std::string_view bytes);
void PutFlag(std::string& out, bool flag);
// Their count, then each of them.
void PutNames(std::string& out, const std::vector<std::string>& names);

template <class E>
void PutEnum(std::string& out, E value) {
  PutVarint(out, static_cast<uint64_t>(value));
}

// Reads from the front of a buffer; once anything is short or malformed, ok() is false for good.
// `field`, where it is asked for, names what is read in the description of a fault.
class VarintReader {
 public:
  explicit VarintReader(std::string_view data) : data_(data) {}

  uint64_t Varint();
  std::string_view Bytes();
  bool Flag() { return Varint() != 0; }
  // A count of things that follow, each of one byte at least. 0, and a refusal, above `most`.
  uint64_t Count(std::string_view field, uint64_t most);
  // An enumerator that is not beyond `last`, which it is else refused as.
  template <class E>
  E Enum(std::string_view field, E last) {
    const uint64_t number = Varint();
    if (number <= static_cast<uint64_t>(last)) return static_cast<E>(number);
    Refuse(field, number);
    return last;
  }
  // As many as the count before them says, at most `most`, each read by `read(reader)`.
  template <class F>
  auto List(std::string_view field, uint64_t most, F read) {
    std::vector<decltype(read(*this))> items;
    const uint64_t count = Count(field, most);
    for (uint64_t i = 0; i < count && ok_; ++i) items.push_back(read(*this));
    return items;
  }
  std::vector<std::string> Names(std::string_view field, uint64_t most) {
    return List(field, most, [](VarintReader& reader) { return std::string(reader.Bytes()); });
  }

  // `field` was read as a value that it can't have. The first fault is the one that is kept.
  void Refuse(std::string_view field, uint64_t value);
  bool ok() const { return ok_; }
  // What is wrong, for a log; empty while ok().
  const std::string& fault() const { return fault_; }
  // True if all was read, and read well.
  bool Finished() const { return ok_ && data_.empty(); }

 private:
  void Fail(std::string fault);

  std::string_view data_;
  bool ok_ = true;
  std::string fault_;
};

}  // namespace hallpier::wire
