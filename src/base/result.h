// A value, or the error that stood in its way. The interface is the part of C++23's std::expected
// that is needed here, which the linter's standard library does not have yet.
#pragma once

#include <optional>
#include <utility>
#include <variant>

namespace hallpier {

// `Value` and `Failure` must be different types.
template <class Value, class Failure>
class [[nodiscard]] Result {
 public:
  // Both are implicit, so that functions return either.
  Result(Value value) : outcome_(std::move(value)) {}
  Result(Failure error) : outcome_(std::move(error)) {}

  bool has_value() const { return std::holds_alternative<Value>(outcome_); }
  explicit operator bool() const { return has_value(); }

  // Only if there is a value.
  Value& operator*() { return std::get<Value>(outcome_); }
  const Value& operator*() const { return std::get<Value>(outcome_); }
  Value* operator->() { return &std::get<Value>(outcome_); }
  const Value* operator->() const { return &std::get<Value>(outcome_); }

  // Only if there is none.
  const Failure& error() const { return std::get<Failure>(outcome_); }

  Value value_or(Value fallback) && {
    return has_value() ? std::move(**this) : std::move(fallback);
  }
  // The value, or nothing, for callers that treat every error alike.
  std::optional<Value> ToOptional() && {
    if (!has_value()) return std::nullopt;
    return std::move(**this);
  }

 private:
  std::variant<Value, Failure> outcome_;
};

}  // namespace hallpier
