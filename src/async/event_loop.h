// The event loop of a process, over libev. It and all that runs on it belong to one thread.
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

  // Runs until Stop(). Coroutines posted meanwhile are resumed from here only, never re-entrantly.
  void Run();
  void Stop() { stopped_ = true; }
  // Resumes a suspended coroutine at the next turn.
  void Post(std::coroutine_handle<> suspended) { ready_.push_back(suspended); }
  // Steady time in seconds.
  double Now() const;
  // Takes a gap of more than `bound_s` between two turns for a pause of the whole process: it was
  // not scheduled while its clocks went on, so that all it knew may be out of date.
  void DetectPauses(double bound_s);
  // Steady time in seconds at which the process went on after its last such pause; minus infinity
  // if there was none. A pause counts from the moment it is over, even before the loop has had a
  // turn.
  double resumed_at() const;
  // For libev watchers.
  struct ev_loop* raw() {
    return loop_;
  }

 private:
  static void OnTick(struct ev_loop* /*loop*/, ev_timer* /*timer*/, int /*events*/) {}
  void NoteTurn();

  struct ev_loop* loop_;
  std::deque<std::coroutine_handle<>> ready_;
  bool stopped_ = false;
  ev_timer tick_;  // so that turns are frequent enough to notice a pause by
  double pause_bound_s_ = std::numeric_limits<double>::infinity();
  double last_turn_ = 0;
  double resumed_at_ = -std::numeric_limits<double>::infinity();
};

}  // namespace hallpier::async
