// The state service: a consensus-backed key-value store with compare-and-swap transactions, watches
// and leases. Every change has a revision; the version of a key is the revision of its last change.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hallpier::model {

struct KeyValue {
  std::string key;
  std::string value;  // JSON
  uint64_t version = 0;
};

// One page of a listing.
struct KeyValueList {
  std::vector<KeyValue> entries;
  bool more = false;  // there is another page
  uint64_t revision = 0;
};

// A transaction is carried out only if all its preconditions hold.
struct Precondition {
  std::string key;
  uint64_t version = 0;  // 0: the key must not exist
};

struct KeyWrite {
  std::string key;
  std::string value;      // JSON; empty: the key is dropped
  uint64_t lease_id = 0;  // the key is dropped when this lease expires; 0: none
};

struct WatchEvent {
  std::string key;
  std::string value;  // empty: dropped
  uint64_t version = 0;
};

struct WatchResponse {
  std::vector<WatchEvent> events;
  uint64_t revision = 0;  // the watch goes on from here
};

}  // namespace hallpier::model
