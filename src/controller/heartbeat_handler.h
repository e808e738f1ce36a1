// Handles workers' heartbeats on the leader: applies a worker's report and responds with its
// commands. Owned by the leader.
#pragma once

#include "async/wait.h"
#include "controller/command_source.h"
#include "controller/node_services.h"
#include "controller/round_trigger.h"
#include "fleet/worker_registry.h"
#include "model/heartbeat.h"
#include "wire/http.h"

namespace hallpier::controller {

class HeartbeatHandler {
 public:
  // All references must outlive this object.
  HeartbeatHandler(const NodeServices& services, fleet::WorkerRegistry& registry,
                   CommandSource& command_source, RoundTrigger& trigger)
      : services_(services),
        registry_(registry),
        command_source_(command_source),
        trigger_(trigger) {}

  // Returns the response to a heartbeat: 200 with commands, which renews the worker's lease, or 421
  // if the worker knows a higher token, which ends our term. If the machine has tasks to start and
  // this node may lack a cancellation, waits for a short time until it knows better; returns 503 if
  // the term ends meanwhile. Requires that this node leads and that LeaderElection::MayAct is true.
  async::Task<wire::HttpResponse> OnHeartbeat(model::Heartbeat report);

 private:
  const NodeServices& services_;
  fleet::WorkerRegistry& registry_;
  CommandSource& command_source_;
  RoundTrigger& trigger_;
};

}  // namespace hallpier::controller
