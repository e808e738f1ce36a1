// A value or an error. Provides the part of C++23's std::expected that this project needs;
// std::expected itself is missing from the standard library that the linter uses.
#pragma once

#include <optional>
#include <utility>
#include <variant>

namespace hallpier {

// `Value` and `Error` must be different types.
template <class Value, class Error>
class [[nodiscard]] Result {
 public:
  // Implicit, so that a function can return a value or an error directly.
  Result(Value value) : outcome_(std::move(value)) {}
  Result(Error error) : outcome_(std::move(error)) {}

  bool has_value() const { return std::holds_alternative<Value>(outcome_); }
  explicit operator bool() const { return has_value(); }

  // Requires has_value().
  Value& operator*() { return std::get<Value>(outcome_); }
  const Value& operator*() const { return std::get<Value>(outcome_); }
  Value* operator->() { return &std::get<Value>(outcome_); }
  const Value* operator->() const { return &std::get<Value>(outcome_); }

  // Requires !has_value().
  const Error& error() const { return std::get<Error>(outcome_); }

  Value value_or(Value fallback) && {
    return has_value() ? std::move(**this) : std::move(fallback);
  }
  // Returns std::nullopt on error, for callers that treat all errors alike.
  std::optional<Value> ToOptional() && {
    if (!has_value()) return std::nullopt;
    return std::move(**this);
  }

 private:
  std::variant<Value, Error> outcome_;
};

}  // namespace hallpier
