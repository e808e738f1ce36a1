#include "simulation/versioned_store.h"

namespace hallpier::testing_support {

std::vector<std::string> VersionedStore::Execute(
    double now, const std::vector<model::Precondition>& preconditions,
    const std::vector<model::KeyWrite>& writes) {
  std::vector<std::string> failed;
  for (const model::Precondition& precondition : preconditions) {
    if (Version(precondition.key) != precondition.version) failed.push_back(precondition.key);
  }
  if (!failed.empty()) return failed;
  ++revision_;
  for (const model::KeyWrite& write : writes) {
    ++writes_;
    if (write.value.empty()) {
      entries_.erase(write.key);
    } else {
      entries_[write.key] = {write.value, revision_};
    }
    changes_.push_back({now, write.key, write.value, revision_});
  }
  return {};
}

std::string VersionedStore::Value(const std::string& key) const {
  auto it = entries_.find(key);
  return it == entries_.end() ? std::string() : it->second.value;
}

uint64_t VersionedStore::Version(const std::string& key) const {
  auto it = entries_.find(key);
  return it == entries_.end() ? 0 : it->second.version;
}

}  // namespace hallpier::testing_support
