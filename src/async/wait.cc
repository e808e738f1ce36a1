#include "async/wait.h"

namespace hallpier::async {

Wait::Wait(Scope& scope, double limit_s) : scope_(scope), limit_s_(limit_s) {
  ev_timer_init(&timer_, OnTimer, 0, 0);
  timer_.data = this;
}

Wait::~Wait() {
  // At exit a coroutine may be destroyed while it waits. Its wait must not stay registered with the
  // loop.
  if (pending_) {
    scope_.waits_.erase(link_);
    ev_timer_stop(scope_.loop_.raw(), &timer_);
  }
}

bool Wait::await_ready() {
  if (!scope_.cancelled_) return false;
  result_ = WaitResult::kCancelled;
  return true;
}

void Wait::await_suspend(std::coroutine_handle<> suspended) {
  handle_ = suspended;
  pending_ = true;
  link_ = scope_.waits_.insert(scope_.waits_.end(), this);
  if (limit_s_ >= 0) {
    struct ev_loop* raw = scope_.loop_.raw();
    // libev measures timers from the start of the current turn, which may be long ago.
    ev_now_update(raw);
    ev_timer_set(&timer_, limit_s_, 0);
    ev_timer_start(raw, &timer_);
  }
  Arm();
}

void Wait::Finish(WaitResult result) {
  if (!pending_) return;
  pending_ = false;
  result_ = result;
  scope_.waits_.erase(link_);
  ev_timer_stop(scope_.loop_.raw(), &timer_);
  Disarm();
  scope_.loop_.Post(handle_);
}

void Wait::OnTimer(struct ev_loop* /*loop*/, ev_timer* timer, int /*events*/) {
  static_cast<Wait*>(timer->data)->Finish(WaitResult::kTimeout);
}

FdWait::FdWait(Scope& scope, int fd, int events, double limit_s) : Wait(scope, limit_s) {
  ev_io_init(&io_, OnIo, fd, events);
  io_.data = this;
}

FdWait::~FdWait() { Disarm(); }

void FdWait::Arm() { ev_io_start(scope_.loop().raw(), &io_); }

void FdWait::Disarm() { ev_io_stop(scope_.loop().raw(), &io_); }

void FdWait::OnIo(struct ev_loop* /*loop*/, ev_io* watcher, int /*events*/) {
  static_cast<FdWait*>(watcher->data)->Finish(WaitResult::kReady);
}

void Event::Waiter::Arm() {
  link_ = event_.waiters_.insert(event_.waiters_.end(), this);
  armed_ = true;
}

void Event::Waiter::Disarm() {
  if (!armed_) return;
  armed_ = false;
  event_.waiters_.erase(link_);
}

void Event::Notify() {
  // Iterates over a copy, since each finished waiter removes itself from the list.
  const std::list<Waiter*> waiters = waiters_;
  for (Waiter* waiter : waiters) waiter->Finish(WaitResult::kReady);
}

}  // namespace hallpier::async
