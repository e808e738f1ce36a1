// The event loop of a process, based on libev. The loop and everything that runs on it belong to
// one thread.
#pragma once

#include <ev.h>

#include <coroutine>
#include <deque>
#include <limits>

namespace hallpier::async {

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop(). Coroutines posted meanwhile are resumed only by Run(), never re-entrantly.
  void Run();
  void Stop() { stopped_ = true; }
  // Resumes a suspended coroutine at the loop's next turn.
  void Post(std::coroutine_handle<> suspended) { ready_.push_back(suspended); }
  // Returns monotonic time in seconds.
  double Now() const;
  // Treats a gap of more than `threshold_s` between two turns as a pause of the whole process,
  // during which it was not scheduled while the clocks advanced. All of its state may then be out
  // of date.
  void DetectPauses(double threshold_s);
  // Returns the monotonic time in seconds at which the process resumed after its last pause; minus
  // infinity if there was none. A pause is reported as soon as it has ended, even before the loop's
  // next turn.
  double resumed_at() const;
  // The underlying loop, for libev watchers.
  struct ev_loop* raw() {
    return loop_;
  }

 private:
  static void OnTurnTimer(struct ev_loop* /*loop*/, ev_timer* /*timer*/, int /*events*/) {}
  void RecordTurn();

  struct ev_loop* loop_;
  std::deque<std::coroutine_handle<>> ready_;
  bool stopped_ = false;
  ev_timer turn_timer_;  // causes turns that are frequent enough to detect pauses
  double pause_threshold_s_ = std::numeric_limits<double>::infinity();
  double last_turn_ = 0;
  double resumed_at_ = -std::numeric_limits<double>::infinity();
};

}  // namespace hallpier::async
