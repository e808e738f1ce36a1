#include "blocks/assignment_planner.h"

#include <algorithm>

namespace hallpier::blocks {
namespace {

constexpr size_t kLeastHolders = 2;

const BlockOwner* Find(const std::vector<BlockOwner>& holders, const std::string& node) {
  auto it = std::find_if(holders.begin(), holders.end(),
                         [&](const BlockOwner& holder) { return holder.node == node; });
  return it == holders.end() ? nullptr : &*it;
}

uint64_t HighestGrant(const BlockAssignmentRecord& record) {
  uint64_t highest = 0;
  for (const BlockOwner& holder : record.holders)
    highest = std::max(highest, holder.allocation_epoch);
  return highest;
}

}  // namespace

std::vector<BlockOwner> AssignmentPlanner::Chosen(const BlockAssignmentRecord& current,
                                                  const Candidates& candidates) const {
  std::vector<BlockOwner> chosen;
  for (const BlockOwner& holder : current.holders) {
    auto candidate = candidates.find(holder.node);
    if (candidate == candidates.end()) continue;
    // Another process of the same name has not been granted anything.
    const uint64_t allocation_epoch =
        candidate->second == holder.session ? holder.allocation_epoch : 0;
    chosen.push_back({holder.node, candidate->second, allocation_epoch});
  }
  for (const auto& [node, session] : candidates) {
    if (Find(current.holders, node) == nullptr) chosen.push_back({node, session, 0});
  }
  if (chosen.size() > most_) chosen.resize(most_);
  if (chosen.size() < kLeastHolders) chosen.clear();
  return chosen;
}

std::optional<BlockAssignmentRecord> AssignmentPlanner::Review(const BlockAssignmentRecord& current,
                                                               model::FencingToken token,
                                                               uint64_t revision,
                                                               const Candidates& candidates) const {
  BlockAssignmentRecord next{token, Chosen(current, candidates)};
  const bool none = next.holders.empty() && current.holders.empty();
  if (none || next == current) return std::nullopt;
  const bool former_term = current.token < first_token_;
  const bool joined =
      std::any_of(next.holders.begin(), next.holders.end(),
                  [&](const BlockOwner& h) { return Find(current.holders, h.node) == nullptr; });
  // The revision keeps grants apart where a record was lost or dropped.
  const uint64_t allocation_epoch = std::max(HighestGrant(current) + 1, revision);
  for (BlockOwner& holder : next.holders) {
    if (former_term || joined || holder.allocation_epoch == 0)
      holder.allocation_epoch = allocation_epoch;
  }
  return next;
}

}  // namespace hallpier::blocks
