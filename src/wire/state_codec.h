// Encodes and decodes the state service's JSON: reads, compare-and-swap transactions, watches and
// leases.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/key_value.h"

namespace hallpier::wire {

// The Read functions return std::nullopt, or an empty list, if the body is malformed.
std::optional<model::KeyValue> ReadKeyValue(std::string_view body);
std::optional<model::KeyValueList> ReadKeyValueList(std::string_view body);
std::optional<model::WatchResponse> ReadWatchResponse(std::string_view body);
std::optional<uint64_t> ReadRevision(std::string_view body);
// Returns the keys whose preconditions did not hold.
std::vector<std::string> ReadFailedPreconditions(std::string_view body);
std::optional<uint64_t> ReadLeaseId(std::string_view body);

std::string WriteTransaction(const std::vector<model::Precondition>& preconditions,
                             const std::vector<model::KeyWrite>& writes);
std::string WriteLeaseRequest(double ttl_s);

}  // namespace hallpier::wire
