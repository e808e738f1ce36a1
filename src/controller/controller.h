// One controller node: owns the parts, connects them, and starts and ends their routines.
// Everything runs on the thread of one event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "api/user_api.h"
#include "async/wait.h"
#include "config/operator_options.h"
#include "config/settings.h"
#include "controller/block_placement_loop.h"
#include "controller/cancellation_exchange.h"
#include "controller/dependency_outcomes.h"
#include "controller/leader.h"
#include "controller/node_election_policy.h"
#include "controller/node_services.h"
#include "controller/node_shutdown.h"
#include "controller/record_dispatcher.h"
#include "controller/request_router.h"
#include "election/leader_election.h"
#include "membership/service.h"
#include "model/machine_type.h"
#include "net/http_server.h"
#include "net/peer_mesh.h"
#include "store/client.h"
#include "store/linearizable_read.h"
#include "store/record_formats.h"
#include "store/watch_cache.h"

namespace hallpier::controller {

class Controller {
 public:
  // `loop` must outlive the controller.
  Controller(async::EventLoop& loop, config::Settings settings, config::OperatorOptions operators);

  // Listens and starts all routines. False, with a reason in `error`, if it can't listen.
  bool Start(std::string* error);
  // Ends every routine in order, then calls `done`. A repeated call does nothing.
  void Shutdown(std::function<void()> done);

 private:
  NodeServices MakeServices();
  std::unique_ptr<membership::Service> MakeMembership();
  api::UserApi::Deps UserApiDependencies();
  net::PeerMesh::Hooks PeerHooks();
  void AddCancellationHooks(net::PeerMesh::Hooks* hooks);
  void AddMembershipHooks(net::PeerMesh::Hooks* hooks);
  void AddBlockHooks(net::PeerMesh::Hooks* hooks);
  wire::PeerStatus Status() const;

  const config::Settings settings_;
  const config::OperatorOptions operators_;
  async::Scope root_;  // of all routines
  NodeShutdown shutdown_;
  jobs::JobTable job_table_;
  std::vector<model::MachineType> machine_types_;
  store::Client client_;
  store::WatchCache cache_;
  store::RecordFormats formats_;
  blocks::BlockRecords block_records_;
  DependencyOutcomes dependency_outcomes_;
  NodeElectionPolicy election_policy_;
  election::LeaderElection election_;
  const NodeServices services_;
  CancellationExchange cancellations_;
  std::unique_ptr<membership::Service> membership_;  // null: it is off
  Leader leader_;
  std::unique_ptr<BlockPlacementLoop> block_holder_;  // null: blocks are off
  store::LinearizableRead linearizable_read_;
  api::UserApi users_;
  RequestRouter router_;
  net::HttpServer server_;
  net::PeerMesh peers_;
  StateDispatcher state_dispatcher_;
};

}  // namespace hallpier::controller
