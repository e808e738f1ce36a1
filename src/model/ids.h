// Monotonic ids as distinct types, so that values of different kinds can't be compared or assigned
// to each other. They have no arithmetic: the state service or a worker's agent issues the next id.
#pragma once

#include <compare>
#include <cstdint>

namespace hallpier::model {

template <class Tag>
class MonotonicId {
 public:
  constexpr MonotonicId() = default;
  constexpr explicit MonotonicId(uint64_t value) : value_(value) {}

  constexpr uint64_t value() const { return value_; }
  // False for 0, the initial value, which means that no id is known.
  constexpr bool is_set() const { return value_ != 0; }
  // clang-tidy mistakes the literal 0 in the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend constexpr auto operator<=>(const MonotonicId&, const MonotonicId&) = default;

 private:
  uint64_t value_ = 0;
};

// Increases with every leader term. The state service and the workers reject a request whose token
// is lower than the highest one that they have seen.
using FencingToken = MonotonicId<struct FencingTokenTag>;

// One incarnation of a worker's agent. It ends when the worker's lease expires.
using AgentEpoch = MonotonicId<struct AgentEpochTag>;

}  // namespace hallpier::model
