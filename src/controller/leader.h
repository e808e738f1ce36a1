// What a node does while it leads: it owns the parts that run rounds, command workers, rent and
// return machines, and divide the machines into blocks. Owned by the controller; lives as long as
// the node, while its routines live for a term. Runs on the thread of the event loop.
#pragma once

#include <memory>
#include <string>

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
  // `services` must outlive this.
  explicit Leader(const NodeServices& services);

  // Starts the duties of a term; they end with its scope.
  void Begin(async::Scope& term);
  // A job's record has changed; the next round considers it.
  void OnJobChanged(const std::string& id);
  // The records of a group of tasks have changed. Where others place, this is how the leader learns
  // which machines have tasks to start.
  void OnTasksChanged(const store::TaskGroupKeyName& key);
  // Something happened that a round should consider: room, or the end of an awaited job.
  void RequestRound() { trigger_.Request(); }
  // A worker's heartbeat, and the answer to it (HeartbeatHandler::OnHeartbeat).
  wire::HttpResponse OnHeartbeat(const model::Heartbeat& report) {
    return heartbeats_.OnHeartbeat(report);
  }
  // Machines that are up and should report here.
  size_t ReportingMachines() const;
  // Null where blocks are off.
  BlockCoordinator* blocks() { return blocks_.get(); }

 private:
  // True once a term has begun and while this node leads.
  bool InTerm() const { return services_.election->leading() && term_ != nullptr; }

  const NodeServices& services_;
  fleet::WorkerRegistry registry_;
  plan::PlanningContext context_;
  RoundTrigger trigger_;
  CommandSource commands_;
  CommandDispatcher dispatcher_;
  HeartbeatHandler heartbeats_;
  ScalingLoop scaling_;
  std::unique_ptr<BlockCoordinator> blocks_;
  RoundRunner rounds_;
  async::Scope* term_ = nullptr;
};

}  // namespace hallpier::controller
