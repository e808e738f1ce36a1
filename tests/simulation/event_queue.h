// Fake time for simulations. Events run one at a time in the order of their times; events with
// equal times run in the order in which they were scheduled. A run is therefore reproducible from
// its seed.
//
// Owned by a simulated cluster. Events run only within RunFor() and RunUntil().
#pragma once

#include <cstdint>
#include <functional>
#include <queue>

namespace hallpier::testing_support {

class EventQueue {
 public:
  // Fake time in seconds since the queue was created.
  double now() const { return now_; }
  // Schedules `run` after `delay_s` seconds of fake time.
  void At(double delay_s, std::function<void()> run);
  // Runs all events due within the next `duration_s` seconds and advances the time by as much.
  void RunFor(double duration_s);
  // Runs in steps of `step_s` seconds until `condition` is true. Returns false if it does not
  // become true within `limit_s` seconds.
  bool RunUntil(const std::function<bool()>& condition, double limit_s, double step_s);

 private:
  struct Event {
    double at;
    uint64_t sequence;
    std::function<void()> run;
    // std::priority_queue puts the largest element on top, so an earlier event compares as larger.
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  std::priority_queue<Event> events_;
  uint64_t sequence_ = 0;
  double now_ = 0;
};

}  // namespace hallpier::testing_support
