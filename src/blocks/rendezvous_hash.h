// Ranks nodes for a name by rendezvous hashing: Thaler and Ravishankar, "Using name-based mappings
// to increase hit rates" (IEEE/ACM Transactions on Networking 6(1), 1998). All nodes that know the
// same set of nodes compute the same ranking. Adding or removing a node moves only the names for
// which it ranks highest.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hallpier::blocks {

class RendezvousHash {
 public:
  explicit RendezvousHash(const std::vector<std::string>& nodes);

  size_t size() const { return seeds_.size(); }
  // Returns the index of the highest-ranked node for a name. Requires at least one node.
  size_t HighestRanked(std::string_view name) const;
  // Returns how many nodes rank above this one for a name.
  size_t RankOf(size_t node, std::string_view name) const;

 private:
  // The node with the larger weight ranks higher. XXH3 has a fixed specification, so that all
  // builds and versions agree.
  uint64_t Weight(size_t node, std::string_view name) const;

  std::vector<uint64_t> seeds_;  // hashes of the nodes' names
};

}  // namespace hallpier::blocks
