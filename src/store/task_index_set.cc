#include "store/task_index_set.h"

#include <iterator>

namespace hallpier::store {

bool TaskIndexSet::Contains(uint32_t index) const {
  auto after = ranges_.upper_bound(index);
  if (after == ranges_.begin()) return false;
  return std::prev(after)->second >= index;
}

void TaskIndexSet::Insert(uint32_t index) {
  if (Contains(index)) return;
  ++size_;
  uint32_t last = index;
  auto after = ranges_.upper_bound(index);
  if (after != ranges_.end() && after->first == index + 1) {
    last = after->second;
    after = ranges_.erase(after);
  }
  if (after != ranges_.begin() && std::prev(after)->second + 1 == index) {
    std::prev(after)->second = last;
  } else {
    ranges_[index] = last;
  }
}

}  // namespace hallpier::store
