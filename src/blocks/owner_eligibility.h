// Tracks on the leader which controllers are eligible to own a block. Does no I/O.
//
// An owner acknowledges each view of its machines that the leader sends. This renews the lease of
// its block if the owner can place tasks. A node without a block acknowledges views that describe
// no machines, and is likewise eligible while its lease is current. The lease only tells the leader
// when it is better to give the block to others. Preconditions keep a former owner from placing
// tasks (blocks/block_assignment.h).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "blocks/assignment_planner.h"

namespace hallpier::blocks {

class OwnerEligibility {
 public:
  struct Options {
    std::string node;    // the leader, which needs a live session but no lease
    double lease_s = 0;  // without a renewal for this long, a node loses its block
    // How long a node gets no block after it lost one. Doubles with each loss, but starts over if
    // the node was eligible for longer than `max_backoff_s` before the loss.
    double backoff_s = 0;
    double max_backoff_s = 0;  // upper limit of the doubled backoff
  };
  explicit OwnerEligibility(Options options) : options_(std::move(options)) {}

  // Starts a term and resets the leases and backoffs of earlier terms. The present owners get one
  // lease duration to answer this leader, which has not heard from them yet.
  void BeginTerm(const BlockAssignmentRecord& block_assignment, double now);
  // Renews the leases of all eligible nodes after a pause of this process, during which it sent no
  // views that they could acknowledge.
  void OnPause(double now);
  // Sets the live session from a member's record; std::nullopt if the member has no record, failed
  // or left.
  void OnMember(const std::string& node, std::optional<uint64_t> session);
  // Handles a node's acknowledgement of a view. `can_place`: the state service answers the node and
  // its watch cache is current. `sent_at`: steady time when the view was sent.
  void OnAcknowledged(const std::string& node, uint64_t session, bool can_place, double sent_at);

  // Updates the eligibility of all nodes and returns those that may own a block.
  Candidates EligibleNodes(double now);

 private:
  struct Node {
    std::optional<uint64_t> session;  // the live session according to the member's record
    uint64_t acknowledged_session = 0;
    std::optional<double> renewed_at;
    bool eligible = false;
    double backoff_until = 0;
    double backoff_s = 0;
    double eligible_since = 0;
  };
  void Revoke(Node* node, double now) const;
  bool HasCurrentLease(const Node& node, double now) const;

  const Options options_;
  std::map<std::string, Node> nodes_;
};

}  // namespace hallpier::blocks
