// Records requests for a round and wakes the coroutine that runs rounds. Supports one waiter; used
// on the thread of the event loop.
#pragma once

#include "async/wait.h"

namespace hallpier::controller {

class RoundTrigger {
 public:
  // Requests a round after an event that it should consider.
  void Request() {
    requested_ = true;
    event_.Notify();
  }
  bool requested() const { return requested_; }
  // Called when a round starts, which covers all requests so far.
  void Clear() { requested_ = false; }
  // Returns an awaitable for the next request, with a timeout of `limit_s` seconds.
  async::Event::Waiter Await(async::Scope& scope, double limit_s) {
    return event_.Await(scope, limit_s);
  }

 private:
  bool requested_ = false;
  async::Event event_;
};

}  // namespace hallpier::controller
