#include "controller/oversized_writes.h"

namespace hallpier::controller {

std::vector<OversizedWrites::WriteSize> OversizedWrites::SizesOf(
    const std::vector<model::KeyWrite>& writes) {
  std::vector<WriteSize> sizes;
  sizes.reserve(writes.size());
  for (const model::KeyWrite& write : writes) sizes.push_back({write.key, write.value.size()});
  return sizes;
}

void OversizedWrites::Clear() {
  isolated_keys_.clear();
  rejected_.clear();
}

bool OversizedWrites::OnRejected(const std::vector<model::KeyWrite>& writes) {
  if (isolated_keys_.contains(writes[0].key)) {
    rejected_[writes[0].key] = SizesOf(writes);
    return true;
  }
  for (const model::KeyWrite& write : writes) isolated_keys_.insert(write.key);
  return false;
}

bool OversizedWrites::IsRejected(const std::vector<model::KeyWrite>& writes) const {
  auto it = rejected_.find(writes[0].key);
  return it != rejected_.end() && it->second == SizesOf(writes);
}

}  // namespace hallpier::controller
