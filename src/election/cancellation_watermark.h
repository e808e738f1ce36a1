// Up to which moment a leader knows every cancellation that any node may have told, and until when
// it may therefore renew workers' leases. Does no I/O and takes the time as an argument.
//
// Guards against: the state service refuses the leader alone, another node confirms cancellations,
// then the service is out for everybody and the leader goes on answering workers, whose leases keep
// the cancelled tasks alive for as long as the outage lasts.
//
// A task is gone at the latest when the lease of the last answered report is over. A cancellation
// that this leader lacks was told after the watermark. So the last answer may come no later than
// cancel_s after the watermark, less one lease; see bound().
#pragma once

#include <map>
#include <string>
#include <vector>

#include "wire/peer_messages.h"

namespace hallpier::election {

class CancellationWatermark {
 public:
  struct Options {
    double cancel_s = 0;
    double lease_s = 0;
    double heartbeat_interval_s = 0;
  };
  CancellationWatermark(Options options, std::vector<std::string> others);

  // The own copy held, at `asked`, all that had been recorded.
  void OnComplete(double asked);
  // The request for a node, given the revision up to which the own copy is complete.
  wire::CancellationReportRequest RequestFor(const std::string& node, uint64_t revision) const;
  // A node's answer to a request that was sent at `asked`. What it hands over must have been taken
  // in before.
  void OnCancellationReport(const std::string& node, double asked,
                            const wire::CancellationReport& cancellation_report);

  // Steady time as of which every cancellation that may have been told is known here.
  double KnownAt(double now) const;
  bool MayRenew(double now) const { return now <= KnownAt(now) + bound(); }
  // True once the own copy alone has been silent for so long that the others are to be asked.
  bool Stale(double now) const;
  // How long after the watermark an answer may still be given.
  double bound() const { return bound_; }

 private:
  struct Other {
    double complete_at;
    uint64_t handed_over = 0;  // cancellations up to this revision are known here
  };
  const Options options_;
  const double bound_;
  double complete_at_;
  std::map<std::string, Other> others_;
};

}  // namespace hallpier::election
