// The controllers' own binary codec: little-endian base-128 numbers, texts with their length, and
// frames of one length and one payload.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hallpier::wire {

void PutVarint(std::string& out, uint64_t value);
void PutBytes(std::string& out, std::string_view bytes);

// Reads from the front of a buffer; once anything is short or malformed, ok() is false for good.
class VarintReader {
 public:
  explicit VarintReader(std::string_view data) : data_(data) {}

  uint64_t Varint();
  std::string_view Bytes();
  // A count of things that follow, each of one byte at least. 0, and a refusal, above `most`.
  uint64_t Count(std::string_view field, uint64_t most);
  // `field` was read as a value that it can't have. The first fault is the one that is kept.
  void Refuse(std::string_view field, uint64_t value);
  bool ok() const { return ok_; }
  // What is wrong, in words for a log; empty while ok().
  const std::string& fault() const { return fault_; }
  // True if all was read, and read well.
  bool Finished() const { return ok_ && data_.empty(); }

 private:
  void Fail(std::string fault);

  std::string_view data_;
  bool ok_ = true;
  std::string fault_;
};

// Takes frames out of a byte stream.
class FrameBuffer {
 public:
  explicit FrameBuffer(size_t max_frame) : max_frame_(max_frame) {}
  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // The next whole frame; nothing if more bytes are needed or the stream is corrupt.
  std::optional<std::string> Next();
  bool corrupt() const { return corrupt_; }

 private:
  const size_t max_frame_;
  std::string buffer_;
  bool corrupt_ = false;
};

std::string Frame(std::string_view payload);

}  // namespace hallpier::wire
