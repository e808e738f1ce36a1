// Tracks the time up to which a leader knows every cancellation that any node has acknowledged to a
// user, and derives from it until when the leader may renew workers' leases. Does no I/O and takes
// the time as an argument (steady, seconds). Owned by a node's controller.
//
// Guards against this case: the key-value store refuses the leader alone, another node acknowledges
// cancellations, then the store is out for everybody and the leader goes on answering workers.
// Their leases would keep the cancelled tasks alive for as long as the outage lasts.
//
// Why the bound is safe: a task is gone at the latest when the lease of the last answered heartbeat
// has run out. A cancellation that this leader lacks was acknowledged after the watermark. So if
// the last answer is given no later than cancel_s after the watermark, less one lease, every such
// task is gone within cancel_s of the acknowledgement; see renewal_bound_s().
#pragma once

#include <map>
#include <string>
#include <vector>

#include "wire/peer_messages.h"

namespace hallpier::election {

class CancellationWatermark {
 public:
  struct Options {
    double cancel_s = 0;  // a cancelled task must be gone within this
    double lease_s = 0;   // of the workers
    double heartbeat_interval_s = 0;
  };
  // `other_nodes`: all nodes that may acknowledge cancellations, without this one.
  CancellationWatermark(Options options, std::vector<std::string> other_nodes);

  // This node's copy contained, at `asked`, all that had been recorded by then.
  void OnCacheConfirmed(double asked);
  // The request for a node, given the revision up to which this node's copy is complete.
  wire::CancellationReportRequest RequestFor(const std::string& node, uint64_t revision) const;
  // A node's answer to a request that was sent at `asked`. The caller must have applied the
  // cancellations in it before.
  void OnCancellationReport(const std::string& node, double asked,
                            const wire::CancellationReport& cancellation_report);

  // The time up to which every acknowledged cancellation is known here.
  double Watermark(double now) const;
  // True while workers' leases may be renewed.
  bool MayRenewLeases(double now) const { return now <= Watermark(now) + renewal_bound_s(); }
  // True once this node's copy has not been confirmed for so long that the others are to be asked.
  bool CacheIsStale(double now) const;
  // How long after the watermark a lease may still be renewed.
  double renewal_bound_s() const { return renewal_bound_s_; }

 private:
  // What another node has reported last.
  struct Reported {
    double complete_at;          // all that it acknowledged up to then is known here
    uint64_t known_through = 0;  // its cancellations up to this revision are known here
  };
  const Options options_;
  const double renewal_bound_s_;
  double copy_complete_at_;
  std::map<std::string, Reported> reported_;  // by node
};

}  // namespace hallpier::election
