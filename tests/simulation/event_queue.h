// Fake time for simulations: events run one after the other in the order of their times, and in the
// order in which they were asked for at equal times. A run is therefore the same for the same seed.
//
// Owned by a simulated cluster; everything runs within RunFor() and RunUntil().
#pragma once

#include <cstdint>
#include <functional>
#include <queue>

namespace hallpier::testing_support {

class EventQueue {
 public:
  // Seconds since the queue was made.
  double now() const { return now_; }
  // Runs `run` after `delay_s` seconds of fake time.
  void At(double delay_s, std::function<void()> run);
  // Runs all that falls due within the next `duration_s` seconds, and ends at their end.
  void RunFor(double duration_s);
  // Runs in steps of `step_s` seconds until `condition` is true; false if it is not within
  // `limit_s` seconds.
  bool RunUntil(const std::function<bool()>& condition, double limit_s, double step_s);

 private:
  struct Event {
    double at;
    uint64_t sequence;
    std::function<void()> run;
    // The queue's top is the largest: the earliest event.
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  std::priority_queue<Event> events_;
  uint64_t sequence_ = 0;
  double now_ = 0;
};

}  // namespace hallpier::testing_support
