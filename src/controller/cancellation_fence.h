// Delays the acknowledgement of a cancellation until no controller can start a task of the job any
// more (election/start_lease.h). Owned by the controller; runs in the coroutines of its users'
// requests.
//
// A cancellation is effective as soon as one of these holds:
//   - This node knows all terms up to the revision of the cancellation, and every node that may
//     hold a start lease knows the cancellation: the leader has confirmed it, or this node leads,
//     or nobody does, and the start leases of former leaders have expired. A later leader reads the
//     cancellation before it sends commands.
//   - All start leases that began before this node knew the cancellation have expired. This does
//     not depend on what else this node knows, and is the longest that a user waits.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "async/wait.h"
#include "controller/node_services.h"
#include "wire/peer_messages.h"

namespace hallpier::controller {

class CancellationFence {
 public:
  // Delivers a cancellation to a node (net::PeerMesh::DeliverCancellation).
  using Deliver =
      std::function<async::Task<bool>(std::string node, wire::CancelNotice notice, double limit_s)>;

  // `services` must outlive this object.
  CancellationFence(const NodeServices& services, Deliver deliver)
      : services_(services), deliver_(std::move(deliver)) {}

  // Handles a change of a job's record, after the job table.
  void OnJobChanged(const std::string& job);
  // Waits until the cancellation of a job is effective. Returns at once if the job's record is not
  // known or not marked as cancelled.
  async::Task<> AwaitEffective(std::string job);

 private:
  struct Cancellation {
    uint64_t version = 0;  // the revision that recorded it
    double known_at = 0;   // steady time (s) at which this node learned of it
    bool effective = false;
  };
  // Returns the steady time (s) until which former leaders may start tasks, as far as this node
  // knows the terms up to the present revision of its watch cache.
  double FormerLeadersEndAt() const;
  // Waits for a change that may make the cancellation effective, at most until `expires_at`.
  async::Task<> AwaitProgress(std::string job, uint64_t version, double expires_at);
  void SetEffective(const std::string& job);

  const NodeServices& services_;
  const Deliver deliver_;
  std::unordered_map<std::string, Cancellation> cancellations_;  // of unfinished jobs
};

}  // namespace hallpier::controller
