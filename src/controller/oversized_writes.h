// Tracks the writes that the state service has rejected as malformed, most likely because of their
// size. Does no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "model/key_value.h"

namespace hallpier::controller {

class OversizedWrites {
 public:
  // Removes all entries, at the start of a term.
  void Clear();
  // Records that a transaction of these writes was rejected. If the first key was not isolated yet,
  // isolates all their keys and returns false: from now on each of these writes shares no
  // transaction with others. If the first key was isolated already, marks the writes as rejected
  // (IsRejected), so that they are not sent again while they have the same sizes, and returns true.
  bool OnRejected(const std::vector<model::KeyWrite>& writes);
  // True if these writes were rejected in an isolated transaction, with the same sizes.
  bool IsRejected(const std::vector<model::KeyWrite>& writes) const;
  // Keys whose writes must not share a transaction with other writes.
  const std::set<std::string>& isolated_keys() const { return isolated_keys_; }

 private:
  // The properties of a write that a rejection for size depends on. Values are not compared, so a
  // final record that differs only in its times counts as the same write.
  struct WriteSize {
    std::string key;
    size_t value_bytes;
    bool operator==(const WriteSize&) const = default;
  };
  static std::vector<WriteSize> SizesOf(const std::vector<model::KeyWrite>& writes);

  std::set<std::string> isolated_keys_;
  std::map<std::string, std::vector<WriteSize>> rejected_;  // by the first key of the writes
};

}  // namespace hallpier::controller
