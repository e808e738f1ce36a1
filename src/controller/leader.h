// Runs the work of the leader: owns the components that run rounds, send commands to workers, rent
// and return machines, and partition the machines into blocks. Owned by the controller; lives as
// long as the node, while its coroutines live for one term. Runs on the thread of the event loop.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "controller/block_coordinator.h"
#include "controller/command_dispatcher.h"
#include "controller/command_source.h"
#include "controller/heartbeat_handler.h"
#include "controller/node_services.h"
#include "controller/round_runner.h"
#include "controller/round_trigger.h"
#include "controller/scaling_loop.h"
#include "fleet/worker_registry.h"
#include "model/heartbeat.h"
#include "plan/round.h"
#include "store/keys.h"
#include "store/records.h"
#include "wire/http.h"

namespace hallpier::controller {

class Leader {
 public:
  // `services` must outlive this object.
  explicit Leader(const NodeServices& services);

  // Starts the work of a term, which ends when its scope is cancelled.
  void BeginTerm(async::Scope& term);
  // Handles a change of a job's record, which the next round considers.
  void OnJobChanged(const std::string& id);
  // Handles a change of a task group's record. If other nodes place tasks too, these changes tell
  // the leader which machines have tasks to start.
  void OnTaskGroupChanged(const store::TaskGroupKeyName& key);
  // Requests a round after an event that it should consider, such as the outcome of a job that
  // other jobs depend on.
  void RequestRound() { trigger_.Request(); }
  // Returns the response to a worker's heartbeat (HeartbeatHandler::OnHeartbeat).
  async::Task<wire::HttpResponse> OnHeartbeat(model::Heartbeat report) {
    return heartbeat_handler_.OnHeartbeat(std::move(report));
  }
  // Returns the number of machines that have reported and are not being terminated.
  size_t ReportingMachineCount() const;
  // Null if blocks are disabled.
  BlockCoordinator* block_coordinator() { return block_coordinator_.get(); }

 private:
  // True while this node leads, once BeginTerm() has been called.
  bool InTerm() const { return services_.election->leading() && term_ != nullptr; }

  const NodeServices& services_;
  fleet::WorkerRegistry registry_;
  plan::PlanningContext context_;
  RoundTrigger trigger_;
  CommandSource command_source_;
  CommandDispatcher command_dispatcher_;
  HeartbeatHandler heartbeat_handler_;
  ScalingLoop scaling_loop_;
  std::unique_ptr<BlockCoordinator> block_coordinator_;
  RoundRunner round_runner_;
  async::Scope* term_ = nullptr;
};

}  // namespace hallpier::controller
