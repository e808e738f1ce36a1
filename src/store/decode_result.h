// Result of decoding a record: its contents, or the reason why it can't be decoded.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/result.h"

namespace hallpier::store {

// Reason why a record can't be decoded.
struct DecodeError {
  std::string field;   // name in the record; empty if the error concerns the whole record
  std::string reason;  // describes the error
};

template <class Record>
using DecodeResult = hallpier::Result<Record, DecodeError>;

// Logs, at level error, that the record under `key` can't be decoded.
void LogUnreadable(std::string_view key, const DecodeError& error);

// Returns the record. If it can't be decoded, logs the error and returns std::nullopt.
template <class Record>
std::optional<Record> RecordOrLog(std::string_view key, DecodeResult<Record> result) {
  if (!result) LogUnreadable(key, result.error());
  return std::move(result).ToOptional();
}

}  // namespace hallpier::store
