// Ends a node in order: it leaves the membership, which hands over the lead, then every routine is
// cancelled and awaited. Owned by the controller; runs on the thread of the event loop.
#pragma once

#include <functional>

#include "async/wait.h"
#include "membership/service.h"

namespace hallpier::controller {

class NodeShutdown {
 public:
  // `routines`: the scope of all routines of the node.
  explicit NodeShutdown(async::Scope& routines) : routines_(routines), scope_(routines.loop()) {}

  // Starts the shutdown, once; a repeated call does nothing. `membership`: null while it is off.
  // `done` is called when no routine of the node runs any more.
  void Begin(membership::Service* membership, std::function<void()> done);

 private:
  async::Task<> LeaveThenCancel(membership::Service* membership, std::function<void()> done);
  void CancelThenJoin(std::function<void()> done);
  async::Task<> Join(std::function<void()> done);

  async::Scope& routines_;
  async::Scope scope_;  // of the shutdown itself, which outlives the others
  bool begun_ = false;
};

}  // namespace hallpier::controller
