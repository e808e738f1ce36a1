// A set of task indexes of a job, kept as ranges: done tasks mostly lie side by side.
#pragma once

#include <cstdint>
#include <map>

namespace hallpier::store {

class TaskIndexSet {
 public:
  bool Contains(uint32_t index) const;
  void Insert(uint32_t index);
  uint32_t size() const { return size_; }
  // First index of a range -> its last, both included; no two ranges touch.
  const std::map<uint32_t, uint32_t>& ranges() const { return ranges_; }

 private:
  std::map<uint32_t, uint32_t> ranges_;
  uint32_t size_ = 0;
};

}  // namespace hallpier::store
