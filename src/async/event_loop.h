// The event loop, scopes of routines, and the things a routine can wait for.
//
// Everything runs on one thread. A routine is a coroutine spawned in a Scope; every wait names its
// scope, and cancelling the scope wakes all of its waits with Wake::kCancelled, so that routines
// unwind in order and Join() returns once the last has ended.
#pragma once

#include <ev.h>

#include <coroutine>
#include <deque>
#include <limits>
#include <list>

#include "async/task.h"

namespace hallpier::async {

enum class WaitResult { kReady, kTimeout, kCancelled };

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop(). Handles posted meanwhile are resumed from here only, never re-entrantly.
  void Run();
  void Stop() { stopped_ = true; }
  void Post(std::coroutine_handle<> h) { ready_.push_back(h); }
  // Steady time in seconds.
  double Now() const;
  // Takes a gap of more than `bound_s` between two turns for a pause of the whole process: it got
  // no turn while its clocks went on, and what it knew before may no longer be so.
  void WatchPauses(double bound_s);
  // Steady time at which the process went on after its last such pause; minus infinity if there was
  // none. A pause counts from the moment it is over, even before the loop has had a turn.
  double resumed_at() const;
  struct ev_loop* raw() {
    return loop_;
  }

 private:
  static void OnTick(struct ev_loop* /*loop*/, ev_timer* /*timer*/, int /*events*/) {}
  void NoteTurn();

  struct ev_loop* loop_;
  std::deque<std::coroutine_handle<>> ready_;
  bool stopped_ = false;
  ev_timer tick_;  // there is a turn often enough to tell a pause by
  double pause_bound_s_ = std::numeric_limits<double>::infinity();
  double last_turn_ = 0;
  double resumed_at_ = -std::numeric_limits<double>::infinity();
};

class Wait;

class Scope {
 public:
  explicit Scope(EventLoop& loop, Scope* parent = nullptr);
  ~Scope();
  Scope(const Scope&) = delete;
  Scope& operator=(const Scope&) = delete;

  // Starts a routine of this scope at the loop's next turn.
  void Spawn(Task<> task);
  void Cancel();
  bool cancelled() const { return cancelled_; }
  int live() const { return live_; }
  // Waits, whatever is cancelled, until every routine of this scope has ended.
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

  void RoutineEnded();
  struct Detached;
  static Detached RunDetached(Scope* scope, Task<> task);
};

// Base of all awaitables: one suspended routine with an optional time limit.
class Wait {
 public:
  // A negative limit means none.
  Wait(Scope& scope, double limit_s);
  virtual ~Wait();
  Wait(const Wait&) = delete;
  Wait& operator=(const Wait&) = delete;

  bool await_ready();
  void await_suspend(std::coroutine_handle<> h);
  WaitResult await_resume() const { return result_; }
  void Finish(WaitResult result);

 protected:
  virtual void Arm() {}
  virtual void Disarm() {}
  Scope& scope_;

 private:
  static void OnTimer(struct ev_loop* loop, ev_timer* w, int events);
  double limit_s_;
  WaitResult result_ = WaitResult::kReady;
  bool pending_ = false;
  std::coroutine_handle<> handle_;
  std::list<Wait*>::iterator link_;
  ev_timer timer_;
};

class Sleep : public Wait {
 public:
  Sleep(Scope& scope, double s) : Wait(scope, s < 0 ? 0 : s) {}
};

// Waits until a descriptor can be read (EV_READ) or written (EV_WRITE).
class FdWait : public Wait {
 public:
  FdWait(Scope& scope, int fd, int events, double limit_s);
  ~FdWait() override;

 protected:
  void Arm() override;
  void Disarm() override;

 private:
  static void OnIo(struct ev_loop* loop, ev_io* w, int events);
  ev_io io_;
};

// Wakes everybody who waits whenever Notify() is called.
class Event {
 public:
  class Waiter : public Wait {
   public:
    Waiter(Event& e, Scope& scope, double limit_s) : Wait(scope, limit_s), event_(e) {}
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
