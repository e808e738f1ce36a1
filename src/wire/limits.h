// Limits on values received from users and workers.
#pragma once

#include <cstddef>

namespace hallpier::wire {

// Limit on names and other short texts.
inline constexpr size_t kMaxNameBytes = 200;

}  // namespace hallpier::wire
