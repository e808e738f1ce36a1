#include "controller/node_shutdown.h"

namespace hallpier::controller {

void NodeShutdown::Begin(membership::Service* membership, std::function<void()> done) {
  if (node_scope_.cancelled() || begun_) return;
  begun_ = true;
  if (membership != nullptr) {
    shutdown_scope_.Spawn(LeaveThenCancel(membership, std::move(done)));
  } else {
    CancelThenJoin(std::move(done));
  }
}

async::Task<> NodeShutdown::LeaveThenCancel(membership::Service* membership,
                                            std::function<void()> done) {
  co_await membership->Leave();
  CancelThenJoin(std::move(done));
}

void NodeShutdown::CancelThenJoin(std::function<void()> done) {
  node_scope_.Cancel();
  shutdown_scope_.Spawn(Join(std::move(done)));
}

async::Task<> NodeShutdown::Join(std::function<void()> done) {
  co_await node_scope_.Join();
  done();
}

}  // namespace hallpier::controller
