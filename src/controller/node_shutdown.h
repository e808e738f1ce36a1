// Shuts a node down in order: the node leaves the membership, which hands over leadership, then
// every coroutine is cancelled and awaited. Owned by the controller; runs on the thread of the
// event loop.
#pragma once

#include <functional>

#include "async/wait.h"
#include "membership/service.h"

namespace hallpier::controller {

class NodeShutdown {
 public:
  // `node_scope` is the scope of all coroutines of the node.
  explicit NodeShutdown(async::Scope& node_scope)
      : node_scope_(node_scope), shutdown_scope_(node_scope.loop()) {}

  // Starts the shutdown; a repeated call does nothing. `membership` is null if it is disabled.
  // `done` is called after all coroutines of the node have ended.
  void Begin(membership::Service* membership, std::function<void()> done);

 private:
  async::Task<> LeaveThenCancel(membership::Service* membership, std::function<void()> done);
  void CancelThenJoin(std::function<void()> done);
  async::Task<> Join(std::function<void()> done);

  async::Scope& node_scope_;
  async::Scope shutdown_scope_;  // of the shutdown's coroutines, which outlive the node's
  bool begun_ = false;
};

}  // namespace hallpier::controller
