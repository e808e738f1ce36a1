#include "controller/node_shutdown.h"

namespace hallpier::controller {

void NodeShutdown::Begin(membership::Service* membership, std::function<void()> done) {
  if (routines_.cancelled() || begun_) return;
  begun_ = true;
  if (membership != nullptr) {
    scope_.Spawn(LeaveThenCancel(membership, std::move(done)));
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
  routines_.Cancel();
  scope_.Spawn(Join(std::move(done)));
}

async::Task<> NodeShutdown::Join(std::function<void()> done) {
  co_await routines_.Join();
  done();
}

}  // namespace hallpier::controller
