// Which machines get a direct command next: one at a time for each machine, and a bounded number of
// machines at a time. A round may have commands for every machine there is; without the bound they
// would take the sockets that workers and users connect by. Does no I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace hallpier::controller {

class DirectCommandQueue {
 public:
  // `max_active`: machines with a command under way at a time; at least 1.
  explicit DirectCommandQueue(size_t max_active) : max_active_(max_active) {}

  // Forgets everything: a term begins.
  void Clear();
  // A machine has new commands. True: it is active now, and the caller sends them. False: another
  // command to it is under way, which is to be repeated, or there is no room yet.
  bool Request(const std::string& machine);
  // An active machine's commands are collected now: they include all that was requested so far.
  void OnCommandsCollected(const std::string& machine) { requested_.erase(machine); }
  // True if commands were requested for an active machine since its last attempt.
  bool NeedsRepeat(const std::string& machine) const { return requested_.contains(machine); }
  // The commands to an active machine are done with.
  void Finish(const std::string& machine) { active_.erase(machine); }
  // Makes the machine active that has waited longest, if there is room. Nothing: none waits, or
  // there is no room. To be called until it returns nothing after each Finish().
  std::optional<std::string> StartNext();

 private:
  const size_t max_active_;
  std::set<std::string> active_;     // machines with a command under way
  std::set<std::string> requested_;  // machines with commands that no attempt has collected yet
  // Of these, the machines that waited for room when they were requested, oldest first. An entry
  // whose machine is no longer in requested_ has been served meanwhile.
  std::deque<std::string> waiting_;
};

}  // namespace hallpier::controller
