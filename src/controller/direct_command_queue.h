// Decides which machines get a direct command next: one command at a time for each machine, and a
// bounded number of machines at a time. A round may have commands for every machine; without the
// bound they would take the sockets that workers and users need to connect. Does no I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace hallpier::controller {

class DirectCommandQueue {
 public:
  // `max_active_machines` is the maximum number of machines with a command in flight; at least 1.
  explicit DirectCommandQueue(size_t max_active_machines)
      : max_active_machines_(max_active_machines) {}

  // Removes all entries, at the start of a term.
  void Clear();
  // Requests a command for a machine. Returns true if the machine has become active; the caller
  // must then send its commands. Returns false if it was active already, which makes NeedsRepeat()
  // true, or if the maximum number of machines is active, which makes the machine wait.
  bool Request(const std::string& machine);
  // Called when an active machine's commands are computed: they cover all requests so far.
  void OnCommandsCollected(const std::string& machine) { requested_.erase(machine); }
  // True if commands were requested for an active machine since they were last computed.
  bool NeedsRepeat(const std::string& machine) const { return requested_.contains(machine); }
  // Makes a machine inactive after its last command.
  void Finish(const std::string& machine) { active_.erase(machine); }
  // Makes the machine active that has waited longest. Returns std::nullopt if no machine waits or
  // if the maximum number is active. Must be called after each Finish() until it returns
  // std::nullopt.
  std::optional<std::string> StartNext();

 private:
  const size_t max_active_machines_;
  std::set<std::string> active_;     // machines with a command in flight
  std::set<std::string> requested_;  // machines with requests that no computed commands cover yet
  // Machines that could not become active when they were requested, oldest first. An entry whose
  // machine is no longer in requested_ has been served in the meantime.
  std::deque<std::string> waiting_;
};

}  // namespace hallpier::controller
