// Waits until the watch cache is at least as new as a given moment, so that reads from it are
// linearizable: they are no older than any response that any node gave before that moment.
//
// Concurrent callers share one request for the service's revision. These requests use only a
// fraction of the node's request rate, however many callers there are, and leave the rest to other
// requests. Owned by the controller; used only on the thread of its event loop.
#pragma once

#include <limits>
#include <memory>

#include "async/wait.h"
#include "store/client.h"
#include "store/watch_cache.h"

namespace hallpier::store {

class LinearizableRead {
 public:
  // `timeout_s`: the longest time that a call of CatchUp waits.
  LinearizableRead(async::Scope& scope, Client& client, WatchCache& cache, double timeout_s)
      : scope_(scope), client_(client), cache_(cache), timeout_s_(timeout_s) {}

  // Waits until the cache holds everything that was written before this call. Returns false if the
  // cache can't be confirmed to hold it within the timeout. Returns false immediately if the
  // service is down or the cache is not loaded yet.
  async::Task<bool> CatchUp();

 private:
  // Calls that share one request.
  struct Batch {
    bool caught_up = false;
    async::Event finished;
  };
  async::Task<> Run();

  async::Scope& scope_;
  Client& client_;
  WatchCache& cache_;
  const double timeout_s_;
  std::shared_ptr<Batch> next_batch_;  // calls since the last request was sent; null if none
  bool running_ = false;
  double last_request_at_ = -std::numeric_limits<double>::infinity();
};

}  // namespace hallpier::store
