#include "blocks/owner_eligibility.h"

#include <algorithm>

namespace hallpier::blocks {
namespace {

constexpr double kBackoffFactor = 2;

}  // namespace

void OwnerEligibility::BeginTerm(const BlockAssignmentRecord& block_assignment, double now) {
  for (auto& [name, node] : nodes_) {
    node.eligible = false;
    node.renewed_at.reset();
    node.backoff_until = node.backoff_s = 0;
  }
  for (const BlockOwner& owner : block_assignment.owners) {
    Node& node = nodes_[owner.node];
    node.eligible = true;
    node.eligible_since = now;
    node.acknowledged_session = owner.session;
    node.renewed_at = now;
  }
}

void OwnerEligibility::OnPause(double now) {
  for (auto& [name, node] : nodes_) {
    if (node.eligible) node.renewed_at = now;
  }
}

void OwnerEligibility::OnMember(const std::string& node, std::optional<uint64_t> session) {
  nodes_[node].session = session;
}

void OwnerEligibility::OnAcknowledged(const std::string& node, uint64_t session, bool can_place,
                                      double sent_at) {
  if (!can_place) return;
  Node& entry = nodes_[node];
  // A late acknowledgement from a former process does not renew the lease. Sessions grow with each
  // process of a node.
  if (session < entry.acknowledged_session) return;
  const bool same_session = session == entry.acknowledged_session && entry.renewed_at;
  entry.renewed_at = same_session ? std::max(*entry.renewed_at, sent_at) : sent_at;
  entry.acknowledged_session = session;
}

bool OwnerEligibility::HasCurrentLease(const Node& node, double now) const {
  return node.session && node.renewed_at && *node.session == node.acknowledged_session &&
         now - *node.renewed_at <= options_.lease_s;
}

void OwnerEligibility::Revoke(Node* node, double now) const {
  node->eligible = false;
  // The backoff starts over if the node was eligible for long enough.
  const bool was_stable = now - node->eligible_since > options_.max_backoff_s;
  const double doubled = kBackoffFactor * node->backoff_s;
  node->backoff_s = was_stable ? options_.backoff_s
                               : std::clamp(doubled, options_.backoff_s, options_.max_backoff_s);
  node->backoff_until = now + node->backoff_s;
}

Candidates OwnerEligibility::EligibleNodes(double now) {
  Candidates eligible;
  for (auto& [name, node] : nodes_) {
    if (name == options_.node) {
      if (node.session) eligible[name] = *node.session;
      continue;
    }
    const bool lease_current = HasCurrentLease(node, now);
    if (node.eligible && !lease_current) Revoke(&node, now);
    if (!node.eligible && lease_current && now >= node.backoff_until) {
      node.eligible = true;
      node.eligible_since = now;
    }
    if (node.eligible) eligible[name] = *node.session;
  }
  return eligible;
}

}  // namespace hallpier::blocks
