// The state service of a simulation: keys with versions, transactions with preconditions, and the
// changes in their order, from which copies follow. It answers at once; delays and faults are the
// cluster's.
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
    std::string value;  // empty: dropped
    uint64_t revision;
  };

  // Carries out the writes if all preconditions hold. Else nothing is written, and the keys whose
  // preconditions did not hold are returned.
  std::vector<std::string> Execute(double now,
                                   const std::vector<model::Precondition>& preconditions,
                                   const std::vector<model::KeyWrite>& writes);
  bool Contains(const std::string& key) const { return entries_.contains(key); }
  // Empty: there is no such key.
  std::string Value(const std::string& key) const;
  // 0: there is no such key.
  uint64_t Version(const std::string& key) const;
  // Of the last change.
  uint64_t revision() const { return revision_; }
  // Keys written or dropped so far.
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
