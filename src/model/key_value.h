// The state service: a consensus-backed key-value store with compare-and-swap transactions, watches
// and leases. Every change gets a revision; a key's version is the revision of its last change.
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
  bool more = false;  // true if another page follows
  uint64_t revision = 0;
};

// A transaction is executed only if all of its preconditions hold.
struct Precondition {
  std::string key;
  uint64_t version = 0;  // 0: the key must not exist
};

struct KeyWrite {
  std::string key;
  std::string value;      // JSON; empty: deletes the key
  uint64_t lease_id = 0;  // the key is deleted when this lease expires; 0: no lease
};

struct WatchEvent {
  std::string key;
  std::string value;  // empty: the key was deleted
  uint64_t version = 0;
};

struct WatchResponse {
  std::vector<WatchEvent> events;
  uint64_t revision = 0;  // the next watch request continues from this revision
};

}  // namespace hallpier::model
