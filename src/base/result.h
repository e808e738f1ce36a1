// A value, or the error that stood in its way. The interface is the part of C++23's std::expected
// that is needed here, which the linter's standard library does not have yet.
#pragma once

#include <utility>
#include <variant>

namespace hallpier {

// Returned in place of a value: `return Error(ListenError{...});`
template <class E>
struct Error {
  explicit Error(E e) : error(std::move(e)) {}
  E error;
};

template <class T, class E>
class [[nodiscard]] Result {
 public:
  // Both are converted implicitly, so that functions return what they have.
  // NOLINTNEXTLINE(google-explicit-constructor)
  Result(T value) : state_(std::in_place_index<0>, std::move(value)) {}
  // NOLINTNEXTLINE(google-explicit-constructor)
  Result(Error<E> error) : state_(std::in_place_index<1>, std::move(error.error)) {}

  bool has_value() const { return state_.index() == 0; }
  explicit operator bool() const { return has_value(); }

  // Only where there is a value.
  const T& operator*() const { return *std::get_if<0>(&state_); }
  T& operator*() { return *std::get_if<0>(&state_); }
  const T* operator->() const { return std::get_if<0>(&state_); }
  T* operator->() { return std::get_if<0>(&state_); }

  // Only where there is none.
  const E& error() const { return *std::get_if<1>(&state_); }

 private:
  std::variant<T, E> state_;
};

// Of what gives no value if it succeeds.
struct Done {};

}  // namespace hallpier
