// Remembers that a round is wanted and wakes the routine that runs rounds. One waiter; used on the
// thread of the event loop.
#pragma once

#include "async/wait.h"

namespace hallpier::controller {

class RoundTrigger {
 public:
  // Something happened that a round should consider.
  void Request() {
    requested_ = true;
    event_.Notify();
  }
  bool requested() const { return requested_; }
  // A round begins: it considers all that was requested so far.
  void Clear() { requested_ = false; }
  // Awaitable: until the next request, or for `limit_s` seconds.
  async::Event::Waiter Await(async::Scope& scope, double limit_s) {
    return event_.Await(scope, limit_s);
  }

 private:
  bool requested_ = false;
  async::Event event_;
};

}  // namespace hallpier::controller
