// Ranks nodes for a name by rendezvous hashing: Thaler and Ravishankar, "Using name-based mappings
// to increase hit rates" (IEEE/ACM Transactions on Networking 6(1), 1998). Whoever knows the nodes
// finds the same order, and a node that comes or goes moves only what goes to or comes from it.
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
  // The number of the node that comes first for a name. There must be a node.
  size_t HighestRanked(std::string_view name) const;
  // How many nodes come before this one.
  size_t RankOf(size_t node, std::string_view name) const;

 private:
  // The larger comes first. XXH3 is specified, so that all builds and versions agree.
  uint64_t Weight(size_t node, std::string_view name) const;

  std::vector<uint64_t> seeds_;  // of the nodes' names
};

}  // namespace hallpier::blocks
