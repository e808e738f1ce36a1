#include "controller/direct_command_queue.h"

#include <utility>

namespace hallpier::controller {

void DirectCommandQueue::Clear() {
  active_.clear();
  requested_.clear();
  waiting_.clear();
}

bool DirectCommandQueue::Request(const std::string& machine) {
  if (active_.contains(machine)) {
    requested_.insert(machine);
    return false;
  }
  if (active_.size() < max_active_machines_) {
    active_.insert(machine);
    return true;
  }
  if (requested_.insert(machine).second) waiting_.push_back(machine);
  return false;
}

std::optional<std::string> DirectCommandQueue::StartNext() {
  while (!waiting_.empty() && active_.size() < max_active_machines_) {
    std::string next = std::move(waiting_.front());
    waiting_.pop_front();
    if (requested_.erase(next) > 0 && Request(next)) return next;
  }
  return std::nullopt;
}

}  // namespace hallpier::controller
