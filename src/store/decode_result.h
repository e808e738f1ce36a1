// The outcome of reading a record: its contents, or what is wrong with it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace hallpier::store {

// Why a record can't be read.
struct DecodeError {
  std::string field;   // as it is named in the record; empty: the record as a whole
  std::string reason;  // what is wrong with it
};

// Logs, at level error, that the record under `key` can't be read.
void LogUnreadable(std::string_view key, const DecodeError& error);

template <class Record>
class [[nodiscard]] DecodeResult {
 public:
  // Implicit both, so that a decoder returns either.
  DecodeResult(Record record) : outcome_(std::move(record)) {}
  DecodeResult(DecodeError error) : outcome_(std::move(error)) {}

  bool has_value() const { return std::holds_alternative<Record>(outcome_); }
  explicit operator bool() const { return has_value(); }
  // Only if there is a record.
  Record& operator*() { return std::get<Record>(outcome_); }
  const Record& operator*() const { return std::get<Record>(outcome_); }
  Record* operator->() { return &std::get<Record>(outcome_); }
  const Record* operator->() const { return &std::get<Record>(outcome_); }
  // Only if there is none.
  const DecodeError& error() const { return std::get<DecodeError>(outcome_); }

  Record value_or(Record fallback) && {
    return has_value() ? std::move(**this) : std::move(fallback);
  }
  // The record, or nothing, for callers that treat every unreadable record alike.
  std::optional<Record> ToOptional() && {
    if (!has_value()) return std::nullopt;
    return std::move(**this);
  }
  // The same for callers that apply the record: one that can't be read is logged with its key.
  std::optional<Record> ToOptionalOrLog(std::string_view key) && {
    if (!has_value()) LogUnreadable(key, error());
    return std::move(*this).ToOptional();
  }

 private:
  std::variant<Record, DecodeError> outcome_;
};

}  // namespace hallpier::store
