#include "wire/base64_digits.h"

namespace hallpier::wire {
namespace {
constexpr std::string_view kDigits =
    "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
constexpr size_t kBitsPerDigit = 6;
}  // namespace

size_t DigitsNeeded(uint64_t max) {
  size_t width = 1;
  for (; max >> kBitsPerDigit != 0; max >>= kBitsPerDigit) ++width;
  return width;
}

void PutDigits(std::string& out, uint64_t value, size_t width) {
  for (size_t i = width; i-- > 0;)
    out.push_back(kDigits[(value >> (kBitsPerDigit * i)) % kDigits.size()]);
}

std::optional<uint64_t> TakeDigits(std::string_view& text, size_t width) {
  if (text.size() < width) return std::nullopt;
  uint64_t value = 0;
  for (char c : text.substr(0, width)) {
    const size_t digit = kDigits.find(c);
    if (digit == std::string_view::npos) return std::nullopt;
    value = value << kBitsPerDigit | digit;
  }
  text.remove_prefix(width);
  return value;
}

std::string PackFlags(const std::vector<bool>& flags) {
  std::string out;
  for (size_t i = 0; i < flags.size(); i += kBitsPerDigit) {
    uint64_t digit_value = 0;
    for (size_t bit = 0; bit < kBitsPerDigit; ++bit) {
      digit_value = digit_value << 1 | (i + bit < flags.size() && flags[i + bit] ? 1 : 0);
    }
    PutDigits(out, digit_value, 1);
  }
  return out;
}

std::optional<std::vector<bool>> UnpackFlags(std::string_view text, size_t count) {
  if (text.size() != (count + kBitsPerDigit - 1) / kBitsPerDigit) return std::nullopt;
  std::vector<bool> flags;
  while (!text.empty()) {
    auto digit_value = TakeDigits(text, 1);
    if (!digit_value) return std::nullopt;
    for (size_t bit = kBitsPerDigit; bit-- > 0;) flags.push_back((*digit_value >> bit & 1) != 0);
  }
  for (size_t i = count; i < flags.size(); ++i) {
    if (flags[i]) return std::nullopt;
  }
  flags.resize(count);
  return flags;
}

}  // namespace hallpier::wire
