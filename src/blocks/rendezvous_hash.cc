#include "blocks/rendezvous_hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace hallpier::blocks {

RendezvousHash::RendezvousHash(const std::vector<std::string>& nodes) {
  for (const std::string& node : nodes) seeds_.push_back(XXH3_64bits(node.data(), node.size()));
}

uint64_t RendezvousHash::Weight(size_t node, std::string_view name) const {
  return XXH3_64bits_withSeed(name.data(), name.size(), seeds_.at(node));
}

size_t RendezvousHash::HighestRanked(std::string_view name) const {
  size_t highest = 0;
  for (size_t node = 1; node < size(); ++node) {
    if (Weight(node, name) > Weight(highest, name)) highest = node;
  }
  return highest;
}

size_t RendezvousHash::RankOf(size_t node, std::string_view name) const {
  size_t rank = 0;
  for (size_t other = 0; other < size(); ++other) {
    const bool ranks_higher = Weight(other, name) > Weight(node, name) ||
                              (Weight(other, name) == Weight(node, name) && other < node);
    if (ranks_higher) ++rank;
  }
  return rank;
}

}  // namespace hallpier::blocks
