// Fixed-width numbers in base 64, six bits per character: a compact form for numbers in JSON
// strings. This is not the Base64 encoding of RFC 4648.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hallpier::wire {

// Returns the number of digits needed for every number up to `max`.
size_t DigitsNeeded(uint64_t max);
// Appends `value` with exactly `width` digits, most significant digit first. Requires that `value`
// fits `width` digits.
void PutDigits(std::string& out, uint64_t value, size_t width);
// Removes `width` digits from the front of `text` and returns their value. Returns std::nullopt,
// and leaves `text` unchanged, if it is shorter than `width` or contains any other character.
std::optional<uint64_t> TakeDigits(std::string_view& text, size_t width);

// Encodes flags, six per character; the last character is padded with false.
std::string PackFlags(const std::vector<bool>& flags);
// Decodes `count` flags. Returns std::nullopt if the length of `text` does not match `count`, a
// character is not a digit or a padding bit is set.
std::optional<std::vector<bool>> UnpackFlags(std::string_view text, size_t count);

}  // namespace hallpier::wire
