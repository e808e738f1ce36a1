// Decides, while a round's transactions are sent one after the other, whether the rest is better
// decided anew by the next round, which knows of what has come in meanwhile. Does no I/O.
#pragma once

#include "jobs/transaction_builder.h"

namespace hallpier::controller {

class ReplanPolicy {
 public:
  // `background_interval_s`: however much new work there is, one transaction of background writes
  // (those that nothing waits for) is sent in each such interval.
  explicit ReplanPolicy(double background_interval_s)
      : background_interval_s_(background_interval_s) {}

  // Prod or urgent work has come that no round has considered yet.
  void OnUrgentWork() { urgent_work_ = true; }
  // A round begins, which considers all that has come so far.
  void OnRoundStarted() { urgent_work_ = false; }
  // True if a transaction, and all behind it, is to be dropped in favour of a new round.
  // `round_requested`: something new has come since the round began. `now`: steady time, s. False
  // means that the transaction is sent.
  bool ShouldReplan(const jobs::Transaction& transaction, bool round_requested, double now);

 private:
  const double background_interval_s_;
  bool urgent_work_ = false;
  double last_background_at_ = 0;  // when the last background transaction was sent
};

}  // namespace hallpier::controller
