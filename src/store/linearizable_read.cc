#include "store/linearizable_read.h"

namespace hallpier::store {
namespace {

// Part of this node's requests that these reads may take, however many ask.
constexpr double kReadShare = 0.5;

}  // namespace

async::Task<bool> LinearizableRead::Reached() {
  if (client_.down() || !cache_.loaded()) co_return false;
  // A read that is under way may be older than this question: only the next one will do.
  if (!next_) next_ = std::make_shared<Batch>();
  std::shared_ptr<Batch> batch = next_;
  if (!running_) {
    running_ = true;
    scope_.Spawn(Run());
  }
  auto wait = batch->event.Await(scope_, limit_s_);
  co_await wait;
  co_return batch->reached;
}

async::Task<> LinearizableRead::Run() {
  while (next_ && !scope_.cancelled()) {
    const double interval = 1 / (kReadShare * client_.request_rate());
    async::Sleep spacing(scope_, last_read_ + interval - scope_.loop().Now());
    co_await spacing;
    if (scope_.cancelled()) break;
    const std::shared_ptr<Batch> batch = std::exchange(next_, nullptr);
    const double asked = scope_.loop().Now();
    const double deadline = asked + limit_s_;
    last_read_ = asked;
    auto revision = co_await client_.Revision(limit_s_);
    while (revision.ok() && cache_.revision() < revision.value) {
      const double left = deadline - scope_.loop().Now();
      if (left <= 0 || scope_.cancelled()) break;
      auto wait = cache_.changed().Await(scope_, left);
      co_await wait;
    }
    batch->reached = revision.ok() && cache_.revision() >= revision.value;
    if (batch->reached) cache_.SetComplete(asked);
    batch->event.Notify();
  }
  running_ = false;
}

}  // namespace hallpier::store
