// Remembers which writes the key-value store has rejected as malformed, in all likelihood for their
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
  // Forgets everything: a term begins.
  void Clear();
  // A transaction of these writes was rejected. What was together goes alone from now on; what was
  // alone is not sent again while it has the same size. True: it was alone.
  bool OnRejected(const std::vector<model::KeyWrite>& writes);
  // True if these writes were rejected alone, with the same sizes.
  bool IsRejected(const std::vector<model::KeyWrite>& writes) const;
  // Keys whose writes must share a transaction with no others.
  const std::set<std::string>& isolated_keys() const { return alone_; }

 private:
  // What a rejection for size depends on; not on the times that are in final records.
  struct WriteSize {
    std::string key;
    size_t value_bytes;
    bool operator==(const WriteSize&) const = default;
  };
  static std::vector<WriteSize> SizesOf(const std::vector<model::KeyWrite>& writes);

  std::set<std::string> alone_;
  std::map<std::string, std::vector<WriteSize>> rejected_;  // by the first key
};

}  // namespace hallpier::controller
