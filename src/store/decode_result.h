// The outcome of reading a record: its contents, or what is wrong with it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/result.h"

namespace hallpier::store {

// Why a record can't be read.
struct DecodeError {
  std::string field;   // as it is named in the record; empty: the record as a whole
  std::string reason;  // what is wrong with it
};

template <class Record>
using DecodeResult = hallpier::Result<Record, DecodeError>;

// Logs, at level error, that the record under `key` can't be read.
void LogUnreadable(std::string_view key, const DecodeError& error);

// The record, or nothing, for callers that apply it: one that can't be read is logged.
template <class Record>
std::optional<Record> RecordOrLog(std::string_view key, DecodeResult<Record> result) {
  if (!result) LogUnreadable(key, result.error());
  return std::move(result).ToOptional();
}

}  // namespace hallpier::store
