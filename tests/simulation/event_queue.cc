#include "simulation/event_queue.h"

#include <utility>

namespace hallpier::testing_support {

void EventQueue::At(double delay_s, std::function<void()> run) {
  events_.push({now_ + delay_s, ++sequence_, std::move(run)});
}

void EventQueue::RunFor(double duration_s) {
  const double end = now_ + duration_s;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  now_ = end;
}

bool EventQueue::RunUntil(const std::function<bool()>& condition, double limit_s, double step_s) {
  const double end = now_ + limit_s;
  while (!condition() && now_ < end) RunFor(step_s);
  return condition();
}

}  // namespace hallpier::testing_support
