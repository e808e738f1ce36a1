#include "blocks/assignment_planner.h"

#include <algorithm>

namespace hallpier::blocks {
namespace {

constexpr size_t kMinOwners = 2;

const BlockOwner* FindOwner(const std::vector<BlockOwner>& owners, const std::string& node) {
  auto it = std::find_if(owners.begin(), owners.end(),
                         [&](const BlockOwner& owner) { return owner.node == node; });
  return it == owners.end() ? nullptr : &*it;
}

uint64_t HighestEpoch(const BlockAssignmentRecord& record) {
  uint64_t highest = 0;
  for (const BlockOwner& owner : record.owners) highest = std::max(highest, owner.allocation_epoch);
  return highest;
}

}  // namespace

std::vector<BlockOwner> AssignmentPlanner::ChooseOwners(const BlockAssignmentRecord& current,
                                                        const Candidates& candidates) const {
  std::vector<BlockOwner> chosen;
  for (const BlockOwner& owner : current.owners) {
    auto candidate = candidates.find(owner.node);
    if (candidate == candidates.end()) continue;
    // Another process of the same name has no allocation yet.
    const uint64_t allocation_epoch =
        candidate->second == owner.session ? owner.allocation_epoch : 0;
    chosen.push_back({owner.node, candidate->second, allocation_epoch});
  }
  for (const auto& [node, session] : candidates) {
    if (FindOwner(current.owners, node) == nullptr) chosen.push_back({node, session, 0});
  }
  if (chosen.size() > max_owners_) chosen.resize(max_owners_);
  if (chosen.size() < kMinOwners) chosen.clear();
  return chosen;
}

std::optional<BlockAssignmentRecord> AssignmentPlanner::PlanChange(
    const BlockAssignmentRecord& current, model::FencingToken token, uint64_t revision,
    const Candidates& candidates) const {
  BlockAssignmentRecord next{token, ChooseOwners(current, candidates)};
  const bool no_owners = next.owners.empty() && current.owners.empty();
  if (no_owners || next == current) return std::nullopt;
  const bool from_former_term = current.token < term_token_;
  const bool owner_joined = std::any_of(
      next.owners.begin(), next.owners.end(),
      [&](const BlockOwner& owner) { return FindOwner(current.owners, owner.node) == nullptr; });
  // The revision keeps epochs distinct even if the record was lost or deleted.
  const uint64_t allocation_epoch = std::max(HighestEpoch(current) + 1, revision);
  for (BlockOwner& owner : next.owners) {
    if (from_former_term || owner_joined || owner.allocation_epoch == 0)
      owner.allocation_epoch = allocation_epoch;
  }
  return next;
}

}  // namespace hallpier::blocks
