// Sends workers their commands without waiting for their heartbeats. Owned by the leader; its
// routines end with the term.
#pragma once

#include <string>

#include "async/wait.h"
#include "controller/command_source.h"
#include "controller/direct_command_queue.h"
#include "controller/node_services.h"
#include "controller/round_trigger.h"
#include "fleet/worker_registry.h"
#include "net/http_client.h"

namespace hallpier::controller {

class CommandDispatcher {
 public:
  // All references must outlive this.
  CommandDispatcher(const NodeServices& services, fleet::WorkerRegistry& registry,
                    CommandSource& commands, RoundTrigger& trigger);

  // A term begins; all routines of the former one have ended.
  void BeginTerm(async::Scope& term);
  // Sends a machine its commands as soon as there is room (DirectCommandQueue).
  void Send(const std::string& machine);

 private:
  // Sends to one machine until nothing is left to send.
  async::Task<> SendUntilDone(std::string machine);
  // Sends one command. False: there is nothing to send, or the machine is not to be sent any.
  async::Task<bool> SendOnce(std::string machine);
  // True if a machine is known, reports, and has answered its last direct command.
  static bool Reachable(const fleet::Machine* machine);
  // Takes in a worker's answer. `token`: the one that the command was sent under.
  void OnAnswer(const std::string& body, model::FencingToken token);

  const NodeServices& services_;
  fleet::WorkerRegistry& registry_;
  CommandSource& commands_;
  RoundTrigger& trigger_;
  const size_t max_active_;
  DirectCommandQueue queue_;
  net::HttpClient workers_;
  async::Scope* term_ = nullptr;
};

}  // namespace hallpier::controller
