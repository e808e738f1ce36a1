// Structured concurrency: a scope owns the coroutines spawned in it and cancels them together.
#pragma once

#include <coroutine>
#include <list>

#include "async/event_loop.h"
#include "async/task.h"

namespace hallpier::async {

class Wait;

// Every wait belongs to a scope. Cancelling the scope wakes all of its waits, so that its
// coroutines can unwind; Join() returns once the last coroutine has ended. Cancelling a scope also
// cancels its child scopes.
class Scope {
 public:
  explicit Scope(EventLoop& loop, Scope* parent = nullptr);
  ~Scope();
  Scope(const Scope&) = delete;
  Scope& operator=(const Scope&) = delete;

  // Starts a coroutine in this scope at the loop's next turn.
  void Spawn(Task<> task);
  // Wakes every wait of this scope and its children with WaitResult::kCancelled; later waits end
  // immediately. Irreversible.
  void Cancel();
  bool cancelled() const { return cancelled_; }
  // Number of coroutines that have not ended.
  int active_coroutines() const { return active_coroutines_; }
  // Waits until every coroutine of this scope has ended, even if the scope is cancelled.
  Task<> Join();
  EventLoop& loop() { return loop_; }

 private:
  friend class Wait;
  EventLoop& loop_;
  Scope* parent_;
  bool cancelled_ = false;
  int active_coroutines_ = 0;
  std::coroutine_handle<> joiner_;
  std::list<Wait*> waits_;
  std::list<Scope*> children_;

  void OnCoroutineEnded();
  struct Detached;
  static Detached RunDetached(Scope* scope, Task<> task);
};

}  // namespace hallpier::async
