// Sends commands to workers directly, without waiting for their heartbeats. Owned by the leader;
// its coroutines end with the term.
#pragma once

#include <optional>
#include <string>

#include "async/wait.h"
#include "controller/command_source.h"
#include "controller/direct_command_queue.h"
#include "controller/node_services.h"
#include "controller/round_trigger.h"
#include "fleet/worker_registry.h"
#include "net/http_client.h"
#include "wire/http.h"

namespace hallpier::controller {

class CommandDispatcher {
 public:
  // All references must outlive this object.
  CommandDispatcher(const NodeServices& services, fleet::WorkerRegistry& registry,
                    CommandSource& command_source, RoundTrigger& trigger);

  // Starts a term. All coroutines of the previous term have ended.
  void BeginTerm(async::Scope& term);
  // Sends a machine its commands as soon as the limit of active machines allows
  // (DirectCommandQueue).
  void Send(const std::string& machine);

 private:
  // Sends commands to one machine until none are left.
  async::Task<> SendUntilDone(std::string machine);
  // Sends the machine's current commands in one request. The request has no commands if there are
  // none and the worker does not know this node's token yet. Returns false if there is nothing to
  // send or if nothing may be sent to the machine.
  async::Task<bool> SendOnce(std::string machine);
  // True if a machine and its endpoint are known, it has reported, and it has not left its last
  // direct command unanswered.
  static bool IsReachable(const fleet::Machine* machine);
  // Returns the timeout of a direct command in seconds.
  double TimeoutS() const;
  // Handles the status report in a worker's response.
  void OnStatusReport(const std::string& body);
  // True if a worker has rejected a command because a response to a heartbeat, under a higher token
  // of this leader than the command's `token`, arrived first.
  bool WasOvertaken(const std::optional<wire::HttpResponse>& response, const std::string& machine,
                    model::FencingToken token) const;

  const NodeServices& services_;
  fleet::WorkerRegistry& registry_;
  CommandSource& command_source_;
  RoundTrigger& trigger_;
  const size_t max_active_machines_;
  DirectCommandQueue queue_;
  net::HttpClient worker_client_;
  async::Scope* term_ = nullptr;
};

}  // namespace hallpier::controller
