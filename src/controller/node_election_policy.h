// The controller's implementation of the election's policy: the membership decides whether this
// node may become the leader, the peers confirm outages, and the exchange of cancellations decides
// whether workers' leases may be renewed.
#pragma once

#include <memory>
#include <vector>

#include "controller/cancellation_exchange.h"
#include "election/election_policy.h"
#include "membership/service.h"
#include "model/key_value.h"
#include "net/peer_mesh.h"

namespace hallpier::controller {

class NodeElectionPolicy : public election::ElectionPolicy {
 public:
  // Stores references to its arguments, which may be constructed after it but must outlive it.
  // `membership` is null if the membership is disabled; then any node may lead at once.
  NodeElectionPolicy(const std::unique_ptr<membership::Service>& membership,
                     CancellationExchange& cancellations, const net::PeerMesh& peers)
      : membership_(membership), cancellations_(cancellations), peers_(peers) {}

  bool MayBecomeLeader() const override { return !membership_ || membership_->MayBecomeLeader(); }
  std::vector<model::Precondition> AcquirePreconditions() const override {
    return membership_ ? membership_->LeadershipPreconditions()
                       : std::vector<model::Precondition>();
  }
  double AcquireDelayS() const override { return membership_ ? membership_->AcquireDelayS() : 0; }
  // Only if the membership is enabled does a leader give up leadership because the state service
  // refuses its requests but not those of other nodes.
  bool MayRevokeViaPeer() const override { return membership_ != nullptr; }
  bool MayRenewWorkerLeases() const override { return cancellations_.MayRenewWorkerLeases(); }
  bool OutageConfirmedByAll() const override { return peers_.AllPeersReportOutage(); }

 private:
  const std::unique_ptr<membership::Service>& membership_;
  CancellationExchange& cancellations_;
  const net::PeerMesh& peers_;
};

}  // namespace hallpier::controller
