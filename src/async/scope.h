// Structured concurrency: a scope owns the coroutines spawned in it, and cancels them as a whole.
#pragma once

#include <coroutine>
#include <list>

#include "async/event_loop.h"
#include "async/task.h"

namespace hallpier::async {

class Wait;

// Every wait names its scope. Cancelling the scope wakes all of its waits, so that its coroutines
// unwind in order; Join() returns once the last has ended. A child scope is cancelled with its
// parent.
class Scope {
 public:
  explicit Scope(EventLoop& loop, Scope* parent = nullptr);
  ~Scope();
  Scope(const Scope&) = delete;
  Scope& operator=(const Scope&) = delete;

  // Starts a coroutine of this scope at the loop's next turn.
  void Spawn(Task<> task);
  // Wakes every wait of this scope and of its children with WaitResult::kCancelled; later waits end
  // at once. There is no way back.
  void Cancel();
  bool cancelled() const { return cancelled_; }
  // Coroutines that have not ended yet.
  int active_coroutines() const { return live_; }
  // Waits, even if this scope is cancelled, until every coroutine of it has ended.
  Task<> Join();
  EventLoop& loop() { return loop_; }

 private:
  friend class Wait;
  EventLoop& loop_;
  Scope* parent_;
  bool cancelled_ = false;
  int live_ = 0;
  std::coroutine_handle<> joiner_;
  std::list<Wait*> waits_;
  std::list<Scope*> children_;

  void CoroutineEnded();
  struct Detached;
  static Detached RunDetached(Scope* scope, Task<> task);
};

}  // namespace hallpier::async
