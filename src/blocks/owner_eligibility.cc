#include "blocks/owner_eligibility.h"

#include <algorithm>

namespace hallpier::blocks {
namespace {

constexpr double kBackoffFactor = 2;

}  // namespace

void OwnerEligibility::BeginTerm(const BlockAssignmentRecord& block_assignment, double now) {
  for (auto& [name, node] : nodes_) {
    node.fit = false;
    node.renewed_at.reset();
    node.not_before = node.backoff_s = 0;
  }
  for (const BlockOwner& holder : block_assignment.holders) {
    Node& node = nodes_[holder.node];
    node.fit = true;
    node.fit_since = now;
    node.acknowledged_session = holder.session;
    node.renewed_at = now;
  }
}

void OwnerEligibility::OnPause(double now) {
  for (auto& [name, node] : nodes_) {
    if (node.fit) node.renewed_at = now;
  }
}

void OwnerEligibility::OnMember(const std::string& node, std::optional<uint64_t> session) {
  nodes_[node].session = session;
}

void OwnerEligibility::OnAcknowledged(const std::string& node, uint64_t session, bool able,
                                      double asked) {
  if (!able) return;
  Node& known = nodes_[node];
  // A late answer of a former process renews nothing.
  if (session < known.acknowledged_session) return;
  const bool same = session == known.acknowledged_session && known.renewed_at;
  known.renewed_at = same ? std::max(*known.renewed_at, asked) : asked;
  known.acknowledged_session = session;
}

bool OwnerEligibility::Renewed(const Node& node, double now) const {
  return node.session && node.renewed_at && *node.session == node.acknowledged_session &&
         now - *node.renewed_at <= options_.lease_s;
}

void OwnerEligibility::Lose(Node* node, double now) const {
  node->fit = false;
  // Who was well for long enough begins anew.
  const bool lasted = now - node->fit_since > options_.max_backoff_s;
  const double doubled = kBackoffFactor * node->backoff_s;
  node->backoff_s =
      lasted ? options_.backoff_s : std::clamp(doubled, options_.backoff_s, options_.max_backoff_s);
  node->not_before = now + node->backoff_s;
}

Candidates OwnerEligibility::Fit(double now) {
  Candidates fit;
  for (auto& [name, node] : nodes_) {
    if (name == options_.node) {
      if (node.session) fit[name] = *node.session;
      continue;
    }
    const bool renewed = Renewed(node, now);
    if (node.fit && !renewed) Lose(&node, now);
    if (!node.fit && renewed && now >= node.not_before) {
      node.fit = true;
      node.fit_since = now;
    }
    if (node.fit) fit[name] = *node.session;
  }
  return fit;
}

}  // namespace hallpier::blocks
