#include "fleet/image_index.h"

namespace hallpier::fleet {
namespace {

constexpr size_t kMaxImages = 2000;

}  // namespace

std::optional<size_t> ImageIndex::Find(const std::string& image) const {
  auto entry = numbers_.find(image);
  if (entry == numbers_.end()) return std::nullopt;
  return entry->second;
}

size_t ImageIndex::FindOrAdd(const std::string& image) {
  return numbers_.try_emplace(image, numbers_.size()).first->second;
}

bool ImageIndex::IsFullFor(const std::string& image) const {
  return numbers_.size() >= kMaxImages && !numbers_.contains(image);
}

}  // namespace hallpier::fleet
