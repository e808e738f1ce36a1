#include "async/event_loop.h"

#include <ctime>
#include <new>

namespace hallpier::async {
namespace {

// Turns within the shortest gap that counts as a pause.
constexpr double kTurnsPerBound = 4;

}  // namespace

EventLoop::EventLoop() : loop_(ev_loop_new(EVFLAG_NOINOTIFY | EVFLAG_NOSIGMASK)) {
  if (loop_ == nullptr) throw std::bad_alloc();
  ev_timer_init(&tick_, OnTick, 0, 0);
}

EventLoop::~EventLoop() { ev_loop_destroy(loop_); }

double EventLoop::Now() const {
  timespec ts;
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

void EventLoop::WatchPauses(double bound_s) {
  pause_bound_s_ = bound_s;
  last_turn_ = Now();
  ev_timer_stop(loop_, &tick_);
  ev_timer_set(&tick_, bound_s / kTurnsPerBound, bound_s / kTurnsPerBound);
  ev_timer_start(loop_, &tick_);
}

double EventLoop::resumed_at() const {
  const double now = Now();
  return now - last_turn_ > pause_bound_s_ ? now : resumed_at_;
}

void EventLoop::NoteTurn() {
  resumed_at_ = resumed_at();
  last_turn_ = Now();
}

void EventLoop::Run() {
  stopped_ = false;
  last_turn_ = Now();
  while (!stopped_) {
    // Only what was ready at the start of the turn: descriptors get theirs as well.
    for (size_t n = ready_.size(); n > 0 && !stopped_; --n) {
      auto h = ready_.front();
      ready_.pop_front();
      h.resume();
    }
    if (stopped_) break;
    ev_run(loop_, ready_.empty() ? EVRUN_ONCE : EVRUN_NOWAIT);
    // Before any routine is resumed.
    if (pause_bound_s_ < std::numeric_limits<double>::infinity()) NoteTurn();
  }
}

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
  scope->RoutineEnded();
}

void Scope::Spawn(Task<> task) {
  ++live_;
  loop_.Post(RunDetached(this, std::move(task)).handle);
}

void Scope::RoutineEnded() {
  if (--live_ == 0 && joiner_) loop_.Post(std::exchange(joiner_, {}));
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
    bool await_ready() const { return scope.live_ == 0; }
    void await_suspend(std::coroutine_handle<> h) { scope.joiner_ = h; }
    void await_resume() const {}
  };
  co_await Awaiter{*this};
}

Wait::Wait(Scope& scope, double limit_s) : scope_(scope), limit_s_(limit_s) {
  ev_timer_init(&timer_, OnTimer, 0, 0);
  timer_.data = this;
}

Wait::~Wait() {
  // A routine destroyed while it waits (at exit) must leave nothing behind in the loop.
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

void Wait::await_suspend(std::coroutine_handle<> h) {
  handle_ = h;
  pending_ = true;
  link_ = scope_.waits_.insert(scope_.waits_.end(), this);
  if (limit_s_ >= 0) {
    struct ev_loop* raw = scope_.loop_.raw();
    // libev counts timers from the start of its turn, which may be long ago.
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

void Wait::OnTimer(struct ev_loop* /*loop*/, ev_timer* w, int /*events*/) {
  static_cast<Wait*>(w->data)->Finish(WaitResult::kTimeout);
}

FdWait::FdWait(Scope& scope, int fd, int events, double limit_s) : Wait(scope, limit_s) {
  ev_io_init(&io_, OnIo, fd, events);
  io_.data = this;
}

FdWait::~FdWait() { Disarm(); }

void FdWait::Arm() { ev_io_start(scope_.loop().raw(), &io_); }

void FdWait::Disarm() { ev_io_stop(scope_.loop().raw(), &io_); }

void FdWait::OnIo(struct ev_loop* /*loop*/, ev_io* w, int /*events*/) {
  static_cast<FdWait*>(w->data)->Finish(WaitResult::kReady);
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
  std::list<Waiter*> all;
  for (Waiter* w : waiters_) all.push_back(w);
  for (Waiter* w : all) w->Finish(WaitResult::kReady);
}

}  // namespace hallpier::async
