// Limits on what is taken from the wire.
#pragma once

#include <cstddef>

namespace hallpier::wire {

// Bytes of a name or another short text.
inline constexpr size_t kMaxText = 200;

}  // namespace hallpier::wire
