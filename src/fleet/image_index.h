// Assigns consecutive numbers to container images, so that the images on a machine can be stored as
// a bit set.
//
// Owned by WorkerRegistry; used on the event loop's thread. Does no I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace hallpier::fleet {

class ImageIndex {
 public:
  // Returns the number of an image; std::nullopt if it has none.
  std::optional<size_t> Find(const std::string& image) const;
  // Returns the number of an image. Assigns the next free number if it has none.
  size_t FindOrAdd(const std::string& image);
  // True if the image has no number and none is left to assign.
  bool IsFullFor(const std::string& image) const;
  // Removes all numbers. The caller must also clear every bit set that uses them.
  void Clear() { numbers_.clear(); }

 private:
  std::unordered_map<std::string, size_t> numbers_;
};

}  // namespace hallpier::fleet
