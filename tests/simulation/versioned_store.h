// State service of a simulation: keys with versions, transactions with preconditions, and an
// ordered log of changes from which nodes update their watch caches. It answers immediately; the
// simulated cluster adds delays and faults.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/key_value.h"

namespace hallpier::testing_support {

class VersionedStore {
 public:
  struct Change {
    double at;  // fake time, in seconds
    std::string key;
    std::string value;  // empty if the key was deleted
    uint64_t revision;
  };

  // Executes the writes if all preconditions hold. Otherwise writes nothing and returns the keys
  // whose preconditions failed.
  std::vector<std::string> Execute(double now,
                                   const std::vector<model::Precondition>& preconditions,
                                   const std::vector<model::KeyWrite>& writes);
  bool Contains(const std::string& key) const { return entries_.contains(key); }
  // Empty if the key does not exist.
  std::string Value(const std::string& key) const;
  // 0 if the key does not exist.
  uint64_t Version(const std::string& key) const;
  // Revision of the last change.
  uint64_t revision() const { return revision_; }
  // Number of keys written or deleted so far.
  uint64_t writes() const { return writes_; }
  const std::vector<Change>& changes() const { return changes_; }

 private:
  struct Entry {
    std::string value;
    uint64_t version = 0;
  };
  std::map<std::string, Entry> entries_;
  uint64_t revision_ = 0;
  uint64_t writes_ = 0;
  std::vector<Change> changes_;
};

}  // namespace hallpier::testing_support
