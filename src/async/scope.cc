#include "async/scope.h"

#include <utility>

#include "async/wait.h"

namespace hallpier::async {

Scope::Scope(EventLoop& loop, Scope* parent) : loop_(loop), parent_(parent) {
  if (parent_ != nullptr) {
    parent_->children_.push_back(this);
    cancelled_ = parent_->cancelled_;
  }
}

Scope::~Scope() {
  if (parent_ != nullptr) parent_->children_.remove(this);
}

struct Scope::Detached {
  struct promise_type {
    Detached get_return_object() {
      return {std::coroutine_handle<promise_type>::from_promise(*this)};
    }
    std::suspend_always initial_suspend() const noexcept { return {}; }
    std::suspend_never final_suspend() const noexcept { return {}; }
    void return_void() const noexcept {}
    void unhandled_exception() const noexcept { std::terminate(); }
  };
  std::coroutine_handle<promise_type> handle;
};

Scope::Detached Scope::RunDetached(Scope* scope, Task<> task) {
  {
    Task<> owned = std::move(task);
    co_await owned;
  }
  scope->OnCoroutineEnded();
}

void Scope::Spawn(Task<> task) {
  ++active_coroutines_;
  loop_.Post(RunDetached(this, std::move(task)).handle);
}

void Scope::OnCoroutineEnded() {
  if (--active_coroutines_ == 0 && joiner_) loop_.Post(std::exchange(joiner_, {}));
}

void Scope::Cancel() {
  if (cancelled_) return;
  cancelled_ = true;
  for (Scope* child : children_) child->Cancel();
  while (!waits_.empty()) waits_.front()->Finish(WaitResult::kCancelled);
}

Task<> Scope::Join() {
  struct Awaiter {
    Scope& scope;
    bool await_ready() const { return scope.active_coroutines_ == 0; }
    void await_suspend(std::coroutine_handle<> suspended) { scope.joiner_ = suspended; }
    void await_resume() const {}
  };
  co_await Awaiter{*this};
}

}  // namespace hallpier::async
