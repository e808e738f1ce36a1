#include "blocks/divider.h"

#include <algorithm>

namespace hallpier::blocks {
namespace {

constexpr size_t kLeastHolders = 2;

const Holder* Find(const std::vector<Holder>& holders, const std::string& node) {
  auto it = std::find_if(holders.begin(), holders.end(),
                         [&](const Holder& holder) { return holder.node == node; });
  return it == holders.end() ? nullptr : &*it;
}

uint64_t HighestGrant(const DivisionRecord& record) {
  uint64_t highest = 0;
  for (const Holder& holder : record.holders) highest = std::max(highest, holder.grant);
  return highest;
}

}  // namespace

std::vector<Holder> Divider::Chosen(const DivisionRecord& current,
                                    const Candidates& candidates) const {
  std::vector<Holder> chosen;
  for (const Holder& holder : current.holders) {
    auto candidate = candidates.find(holder.node);
    if (candidate == candidates.end()) continue;
    // Another process of the same name has not been granted anything.
    const uint64_t grant = candidate->second == holder.session ? holder.grant : 0;
    chosen.push_back({holder.node, candidate->second, grant});
  }
  for (const auto& [node, session] : candidates) {
    if (Find(current.holders, node) == nullptr) chosen.push_back({node, session, 0});
  }
  if (chosen.size() > most_) chosen.resize(most_);
  if (chosen.size() < kLeastHolders) chosen.clear();
  return chosen;
}

std::optional<DivisionRecord> Divider::Review(const DivisionRecord& current,
                                              model::FencingToken token, uint64_t revision,
                                              const Candidates& candidates) const {
  DivisionRecord next{token, Chosen(current, candidates)};
  const bool none = next.holders.empty() && current.holders.empty();
  if (none || next == current) return std::nullopt;
  const bool former_term = current.token < first_token_;
  const bool joined = std::any_of(next.holders.begin(), next.holders.end(), [&](const Holder& h) {
    return Find(current.holders, h.node) == nullptr;
  });
  // The revision keeps grants apart where a record was lost or dropped.
  const uint64_t grant = std::max(HighestGrant(current) + 1, revision);
  for (Holder& holder : next.holders) {
    if (former_term || joined || holder.grant == 0) holder.grant = grant;
  }
  return next;
}

}  // namespace hallpier::blocks
