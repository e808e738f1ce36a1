#include "store/linearizable_read.h"

#include <utility>

namespace hallpier::store {
namespace {

// Fraction of this node's request rate that revision requests may use, however many callers wait.
constexpr double kRequestShare = 0.5;

}  // namespace

async::Task<bool> LinearizableRead::CatchUp() {
  if (client_.down() || !cache_.loaded()) co_return false;
  // A request in flight may have been executed before this call, so join the batch of the next
  // request.
  if (!next_batch_) next_batch_ = std::make_shared<Batch>();
  std::shared_ptr<Batch> batch = next_batch_;
  if (!running_) {
    running_ = true;
    scope_.Spawn(Run());
  }
  auto wait = batch->finished.Await(scope_, timeout_s_);
  co_await wait;
  co_return batch->caught_up;
}

async::Task<> LinearizableRead::Run() {
  while (next_batch_ && !scope_.cancelled()) {
    const double interval_s = 1 / (kRequestShare * client_.request_rate());
    async::Sleep spacing(scope_, last_request_at_ + interval_s - scope_.loop().Now());
    co_await spacing;
    if (scope_.cancelled()) break;
    const std::shared_ptr<Batch> batch = std::exchange(next_batch_, nullptr);
    const double requested_at = scope_.loop().Now();
    const double deadline = requested_at + timeout_s_;
    last_request_at_ = requested_at;
    auto revision = co_await client_.Revision(timeout_s_);
    while (revision.ok() && cache_.revision() < revision.value) {
      const double remaining_s = deadline - scope_.loop().Now();
      if (remaining_s <= 0 || scope_.cancelled()) break;
      auto wait = cache_.changed().Await(scope_, remaining_s);
      co_await wait;
    }
    batch->caught_up = revision.ok() && cache_.revision() >= revision.value;
    if (batch->caught_up) cache_.ConfirmCurrent(requested_at);
    batch->finished.Notify();
  }
  running_ = false;
}

}  // namespace hallpier::store
