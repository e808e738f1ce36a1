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
  constexpr double kSecondsPerNanosecond = 1e-9;
  timespec time;
  clock_gettime(CLOCK_MONOTONIC, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * kSecondsPerNanosecond;
}

void EventLoop::DetectPauses(double bound_s) {
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
    // Only what was ready at the start of the turn, so that file descriptors are not starved.
    for (size_t left = ready_.size(); left > 0 && !stopped_; --left) {
      auto suspended = ready_.front();
      ready_.pop_front();
      suspended.resume();
    }
    if (stopped_) break;
    ev_run(loop_, ready_.empty() ? EVRUN_ONCE : EVRUN_NOWAIT);
    // Before any coroutine is resumed: it must not act on what it knew before a pause.
    if (pause_bound_s_ < std::numeric_limits<double>::infinity()) NoteTurn();
  }
}

}  // namespace hallpier::async
