// One read for any number of questions: it says how far the state service is, and once the warm
// copy has come as far, that copy is no older than anything that was told to anybody before the
// read. The reads leave room for everything else however many questions there are.
#pragma once

#include <limits>
#include <memory>

#include "async/wait.h"
#include "store/client.h"
#include "store/watch_cache.h"

namespace hallpier::store {

class LinearizableRead {
 public:
  // Whoever waits longer than `limit_s` is told no.
  LinearizableRead(async::Scope& scope, Client& client, WatchCache& cache, double limit_s)
      : scope_(scope), client_(client), cache_(cache), limit_s_(limit_s) {}

  // True once the warm copy holds all that had been written when this was called.
  async::Task<bool> Reached();

 private:
  struct Batch {
    bool reached = false;
    async::Event event;
  };
  async::Task<> Run();

  async::Scope& scope_;
  Client& client_;
  WatchCache& cache_;
  const double limit_s_;
  std::shared_ptr<Batch> next_;  // those who came since the last read was sent
  bool running_ = false;
  double last_read_ = -std::numeric_limits<double>::infinity();
};

}  // namespace hallpier::store
