// Tells when the local copy of the state is at least as new as a given moment, so that answers from
// it are linearizable: no older than anything that any node had answered before.
//
// One request for the service's revision serves all who ask meanwhile, so that the requests leave
// room for all else however many ask. Owned by the controller; used on the thread of its event
// loop.
#pragma once

#include <limits>
#include <memory>

#include "async/wait.h"
#include "store/client.h"
#include "store/watch_cache.h"

namespace hallpier::store {

class LinearizableRead {
 public:
  // `limit_s`: seconds that a call of CatchUp waits at most.
  LinearizableRead(async::Scope& scope, Client& client, WatchCache& cache, double limit_s)
      : scope_(scope), client_(client), cache_(cache), limit_s_(limit_s) {}

  // Waits until the copy holds all that had been written when this was called. False if that is
  // not certain within the time limit.
  async::Task<bool> CatchUp();

 private:
  // Calls that share a request.
  struct Batch {
    bool caught_up = false;
    async::Event finished;
  };
  async::Task<> Run();

  async::Scope& scope_;
  Client& client_;
  WatchCache& cache_;
  const double limit_s_;
  std::shared_ptr<Batch> next_batch_;  // calls since the last request was sent; null: none
  bool running_ = false;
  double last_request_at_ = -std::numeric_limits<double>::infinity();
};

}  // namespace hallpier::store
