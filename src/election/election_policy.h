// Conditions for leadership that depend on other components: peers, membership, and the exchange of
// cancellations. Queried by the election and implemented by the controller
// (controller/node_election_policy.h). The defaults are for a node without other nodes: it may
// become leader at once and relies only on its lease.
#pragma once

#include <vector>

#include "model/key_value.h"

namespace hallpier::election {

// All methods are called from the coroutines of the election on the event loop thread and must not
// block.
class ElectionPolicy {
 public:
  ElectionPolicy() = default;
  virtual ~ElectionPolicy() = default;
  ElectionPolicy(const ElectionPolicy&) = delete;
  ElectionPolicy& operator=(const ElectionPolicy&) = delete;

  // Returns true if the state of this node in the membership allows it to become leader now.
  virtual bool MayBecomeLeader() const { return true; }
  // Returns preconditions for the transaction that acquires leadership, in addition to those of the
  // election.
  virtual std::vector<model::Precondition> AcquirePreconditions() const { return {}; }
  // Returns the seconds to wait so that a preferred node can become leader first; 0 if there is
  // none.
  virtual double AcquireDelayS() const { return 0; }
  // Returns true if the lease of an ended term may be revoked via a peer. A node that gives up
  // leadership because the state service refuses only its requests has no other way to revoke it.
  virtual bool MayRevokeViaPeer() const { return false; }
  // Returns true if workers' leases may be renewed without ignoring an acknowledged cancellation
  // (election/cancellation_watermark.h).
  virtual bool MayRenewWorkerLeases() const { return true; }
  // Returns true if every other node currently confirms that it can't reach the state service.
  virtual bool OutageConfirmedByAll() const { return false; }
};

}  // namespace hallpier::election
