// Numbers as text of base 64, six bits a character: for values that must be JSON and stay small.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hallpier::wire {

// Characters that every number up to `most` fits.
size_t DigitsNeeded(uint64_t most);
// Appends `value`, highest digit first; it must fit `width`.
void PutDigits(std::string& out, uint64_t value, size_t width);
// Takes `width` characters from the front; nothing if there are fewer, or others than digits.
std::optional<uint64_t> TakeDigits(std::string_view& text, size_t width);

// Flags, six a character; the last one is filled up with false.
std::string PackFlags(const std::vector<bool>& flags);
std::optional<std::vector<bool>> UnpackFlags(std::string_view text, size_t count);

}  // namespace hallpier::wire
