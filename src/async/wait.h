// Awaitables for coroutines: a delay, a file descriptor or an event. They live in the coroutine's
// frame and must not outlive their scope.
#pragma once

#include <ev.h>

#include <coroutine>
#include <list>

#include "async/scope.h"

namespace hallpier::async {

// How a wait ended.
enum class WaitResult { kReady, kTimeout, kCancelled };

// Base class of the awaitables: one suspended coroutine with an optional time limit.
class Wait {
 public:
  // `limit_s`: seconds until the wait ends with kTimeout; negative: no limit.
  Wait(Scope& scope, double limit_s);
  virtual ~Wait();
  Wait(const Wait&) = delete;
  Wait& operator=(const Wait&) = delete;

  bool await_ready();
  void await_suspend(std::coroutine_handle<> suspended);
  WaitResult await_resume() const { return result_; }
  // Ends the wait; the coroutine is resumed at the loop's next turn. Only the first call has an
  // effect.
  void Finish(WaitResult result);

 protected:
  // Start and stop watching for the awaited condition.
  virtual void Arm() {}
  virtual void Disarm() {}
  Scope& scope_;

 private:
  static void OnTimer(struct ev_loop* loop, ev_timer* timer, int events);
  double limit_s_;
  WaitResult result_ = WaitResult::kReady;
  bool pending_ = false;
  std::coroutine_handle<> handle_;
  std::list<Wait*>::iterator link_;
  ev_timer timer_;
};

// Ends with kTimeout after `duration_s` seconds.
class Sleep : public Wait {
 public:
  Sleep(Scope& scope, double duration_s) : Wait(scope, duration_s < 0 ? 0 : duration_s) {}
};

// Waits until a file descriptor is readable (EV_READ) or writable (EV_WRITE).
class FdWait : public Wait {
 public:
  FdWait(Scope& scope, int fd, int events, double limit_s);
  ~FdWait() override;

 protected:
  void Arm() override;
  void Disarm() override;

 private:
  static void OnIo(struct ev_loop* loop, ev_io* watcher, int events);
  ev_io io_;
};

// A condition without a state: Notify() wakes the coroutines that wait at that moment and has no
// effect on later waits.
class Event {
 public:
  class Waiter : public Wait {
   public:
    Waiter(Event& event, Scope& scope, double limit_s) : Wait(scope, limit_s), event_(event) {}
    ~Waiter() override { Disarm(); }

   protected:
    void Arm() override;
    void Disarm() override;

   private:
    Event& event_;
    bool armed_ = false;
    std::list<Waiter*>::iterator link_;
    friend class Event;
  };
  Waiter Await(Scope& scope, double limit_s = -1) { return {*this, scope, limit_s}; }
  void Notify();

 private:
  std::list<Waiter*> waiters_;
};

}  // namespace hallpier::async
