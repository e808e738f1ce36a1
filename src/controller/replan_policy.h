// Decides, while the transactions of a round are sent one by one, whether to drop the rest in
// favour of a new round, which takes the latest changes into account. Does no I/O.
#pragma once

#include "jobs/transaction_builder.h"

namespace hallpier::controller {

class ReplanPolicy {
 public:
  // `background_interval_s`: one transaction of background writes (writes that nothing waits for)
  // is sent in each interval of this length, however much new work there is.
  explicit ReplanPolicy(double background_interval_s)
      : background_interval_s_(background_interval_s) {}

  // Called when prod or urgent work arrives that no round has considered yet.
  void OnUrgentWork() { urgent_work_pending_ = true; }
  // Called when a round starts, which considers all work that has arrived so far.
  void OnRoundStarted() { urgent_work_pending_ = false; }
  // Returns true if a transaction and all following ones are to be dropped in favour of a new
  // round; otherwise the caller must send the transaction. `round_requested` is true if a round was
  // requested since the current one started. `now` is steady time in seconds.
  bool ShouldReplan(const jobs::Transaction& transaction, bool round_requested, double now);

 private:
  const double background_interval_s_;
  bool urgent_work_pending_ = false;
  double last_background_sent_at_ = 0;  // steady time in seconds
};

}  // namespace hallpier::controller
