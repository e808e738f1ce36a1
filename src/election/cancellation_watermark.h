// Tracks the watermark of cancellations: the time up to which the leader knows every cancellation
// that any node has acknowledged to a user. Derives from it how long the leader may renew workers'
// leases. Does no I/O and takes the time as an argument (steady time in seconds). Owned by a node's
// controller.
//
// Guards against the following failure: the state service refuses requests of the leader only,
// another node acknowledges cancellations, then the state service becomes unavailable to all nodes
// and the leader continues to answer workers. Their renewed leases would keep the cancelled tasks
// running for the whole outage.
//
// Safety of the bound: a task ends at the latest when the lease from the last answered heartbeat
// expires. A cancellation that this leader does not know was acknowledged after the watermark.
// Therefore, if the last response is given no later than cancel_s minus one lease after the
// watermark, every task of such a cancellation has ended within cancel_s of the acknowledgement.
// renewal_bound_s() applies this limit, but has a minimum: if cancel_s leaves less time than that,
// leases alone don't guarantee cancel_s.
//
// The watermark also bounds how long the leader may start tasks (election/start_lease.h). That
// bound is much shorter.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "wire/peer_messages.h"

namespace hallpier::election {

class CancellationWatermark {
 public:
  struct Options {
    double cancel_s = 0;  // limit from the acknowledgement to the end of the tasks
    double lease_s = 0;   // lease of a worker
    double heartbeat_interval_s = 0;
  };
  // `other_nodes`: all nodes that may acknowledge cancellations, except this one.
  CancellationWatermark(Options options, std::vector<std::string> other_nodes);

  // Called when this node's watch cache is known to contain everything recorded by `as_of`.
  void OnCacheConfirmed(double as_of);
  // Returns the report request to send to a node. `revision`: the revision up to which this node's
  // watch cache is complete.
  wire::CancellationReportRequest BuildReportRequest(const std::string& node,
                                                     uint64_t revision) const;
  // Called with a node's response to a request that was sent at `requested_at`. Requires that the
  // caller has applied the cancellations in the response.
  void OnCancellationReport(const std::string& node, double requested_at,
                            const wire::CancellationReport& cancellation_report);

  // Returns the time up to which this node knows every acknowledged cancellation.
  double Watermark(double now) const;
  // Returns true while workers' leases may be renewed.
  bool MayRenewLeases(double now) const { return now <= Watermark(now) + renewal_bound_s(); }
  // Returns true while tasks may be started without ignoring an acknowledged cancellation.
  bool MayStartTasks(double now) const;
  // Returns true if this node's watch cache has not been confirmed for so long that reports must be
  // requested from the other nodes.
  bool CacheIsStale(double now) const;
  // Returns the seconds after the watermark during which leases may be renewed.
  double renewal_bound_s() const { return renewal_bound_s_; }

 private:
  // The cancellations of another node that this node knows from that node's reports.
  struct NodeReport {
    double complete_at;          // all cancellations acknowledged until this time are known
    uint64_t known_through = 0;  // all cancellations up to this revision are known
  };
  const Options options_;
  const double renewal_bound_s_;
  double cache_confirmed_at_;
  std::map<std::string, NodeReport> reports_;  // by node
};

}  // namespace hallpier::election
