#include "async/event_loop.h"

#include <ctime>
#include <new>

namespace hallpier::async {
namespace {

// The loop turns at least this often within the shortest gap that counts as a pause.
constexpr double kTurnsPerPauseThreshold = 4;

}  // namespace

EventLoop::EventLoop() : loop_(ev_loop_new(EVFLAG_NOINOTIFY | EVFLAG_NOSIGMASK)) {
  if (loop_ == nullptr) throw std::bad_alloc();
  ev_timer_init(&turn_timer_, OnTurnTimer, 0, 0);
}

EventLoop::~EventLoop() { ev_loop_destroy(loop_); }

double EventLoop::Now() const {
  constexpr double kSecondsPerNanosecond = 1e-9;
  timespec time;
  clock_gettime(CLOCK_MONOTONIC, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * kSecondsPerNanosecond;
}

void EventLoop::DetectPauses(double threshold_s) {
  pause_threshold_s_ = threshold_s;
  last_turn_ = Now();
  ev_timer_stop(loop_, &turn_timer_);
  ev_timer_set(&turn_timer_, threshold_s / kTurnsPerPauseThreshold,
               threshold_s / kTurnsPerPauseThreshold);
  ev_timer_start(loop_, &turn_timer_);
}

double EventLoop::resumed_at() const {
  const double now = Now();
  return now - last_turn_ > pause_threshold_s_ ? now : resumed_at_;
}

void EventLoop::RecordTurn() {
  resumed_at_ = resumed_at();
  last_turn_ = Now();
}

void EventLoop::Run() {
  stopped_ = false;
  last_turn_ = Now();
  while (!stopped_) {
    // Resumes only coroutines that were ready at the start of the turn, so that file descriptors
    // are not starved.
    for (size_t remaining = ready_.size(); remaining > 0 && !stopped_; --remaining) {
      auto suspended = ready_.front();
      ready_.pop_front();
      suspended.resume();
    }
    if (stopped_) break;
    ev_run(loop_, ready_.empty() ? EVRUN_ONCE : EVRUN_NOWAIT);
    // Done before any coroutine is resumed: a coroutine must not act on state from before a pause
    // without seeing that the pause happened.
    if (pause_threshold_s_ < std::numeric_limits<double>::infinity()) RecordTurn();
  }
}

}  // namespace hallpier::async
