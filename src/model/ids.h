// Counters that are compared with each other and must not be mixed up. None has arithmetic: the
// state service, or a worker's agent, says what comes next.
#pragma once

#include <compare>
#include <cstdint>

namespace hallpier::model {

template <class Tag>
class Counter {
 public:
  constexpr Counter() = default;
  constexpr explicit Counter(uint64_t value) : value_(value) {}

  constexpr uint64_t value() const { return value_; }
  // False for the initial value, which stands for none.
  constexpr bool is_set() const { return value_ != 0; }
  // clang-tidy takes the defaulted comparison for arithmetic on a literal 0.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend constexpr auto operator<=>(const Counter&, const Counter&) = default;

 private:
  uint64_t value_ = 0;
};

// Grows with every term of a leader. Who holds a lower one than the state service, or a worker, has
// seen, is refused there.
using FencingToken = Counter<struct FencingTokenTag>;

// One life of a worker's agent. It ends with the worker's lease.
using AgentEpoch = Counter<struct AgentEpochTag>;

}  // namespace hallpier::model
