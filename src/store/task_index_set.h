// A set of task indexes of a job, stored as ranges because done tasks are mostly consecutive.
#pragma once

#include <cstdint>
#include <map>

namespace hallpier::store {

class TaskIndexSet {
 public:
  bool Contains(uint32_t index) const;
  void Insert(uint32_t index);
  uint32_t size() const { return size_; }
  // Maps the first index of each range to its last, both inclusive. No two ranges are adjacent.
  const std::map<uint32_t, uint32_t>& ranges() const { return ranges_; }

 private:
  std::map<uint32_t, uint32_t> ranges_;
  uint32_t size_ = 0;
};

}  // namespace hallpier::store
