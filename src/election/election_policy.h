// What a node's surroundings (peers, membership, the copy of the records) say about leading. The
// election asks; the controller answers (controller/node_election_policy.h). The defaults are those
// of a node that stands alone: it may lead at once and relies on its own lease only.
#pragma once

#include <vector>

#include "model/key_value.h"

namespace hallpier::election {

// Every method is called from the routines of the election, on the thread of the event loop, and
// must not block.
class ElectionPolicy {
 public:
  ElectionPolicy() = default;
  virtual ~ElectionPolicy() = default;
  ElectionPolicy(const ElectionPolicy&) = delete;
  ElectionPolicy& operator=(const ElectionPolicy&) = delete;

  // Whether this node's standing among the members lets it take the lead now.
  virtual bool MayBecomeLeader() const { return true; }
  // Preconditions that must hold in the transaction that takes the lead, beside the election's own.
  virtual std::vector<model::Precondition> AcquirePreconditions() const { return {}; }
  // Seconds that a better placed node is given to take the lead first; 0: none.
  virtual double AcquireDelayS() const { return 0; }
  // Whether the lease of an ended term may be revoked by way of a peer. A node that yields because
  // the key-value store refuses it alone has no other way.
  virtual bool MayRevokeViaPeer() const { return false; }
  // Whether workers' leases may be renewed without missing an acknowledged cancellation
  // (election/cancellation_watermark.h).
  virtual bool MayRenewWorkerLeases() const { return true; }
  // Whether every other node confirms, at this moment, that it can't reach the key-value store.
  virtual bool OutageConfirmedByAll() const { return false; }
};

}  // namespace hallpier::election
