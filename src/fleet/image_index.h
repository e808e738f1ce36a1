// Numbers for container images, so that a machine can note the images that it has as a bit set.
//
// Owned by WorkerRegistry; lives on the event loop's thread. Does no I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace hallpier::fleet {

class ImageIndex {
 public:
  // The number of an image; nothing if it has none yet.
  std::optional<size_t> Find(const std::string& image) const;
  // The number of an image, which gets the next one if it has none yet.
  size_t FindOrAdd(const std::string& image);
  // True if there is no number left for an image that has none.
  bool IsFullFor(const std::string& image) const;
  // Takes back all numbers. Whoever noted images by number must forget them.
  void Clear() { numbers_.clear(); }

 private:
  std::unordered_map<std::string, size_t> numbers_;
};

}  // namespace hallpier::fleet
