// One controller node: owns the components, connects them, and starts and ends their coroutines.
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
#include "controller/cancellation_fence.h"
#include "controller/dependency_outcomes.h"
#include "controller/leader.h"
#include "controller/node_election_policy.h"
#include "controller/node_services.h"
#include "controller/node_shutdown.h"
#include "controller/record_dispatcher.h"
#include "controller/request_router.h"
#include "controller/start_permission.h"
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
  Controller(async::EventLoop& loop, config::Settings settings,
             config::OperatorOptions operator_options);

  // Listens and starts all coroutines. Returns false and sets `error` to the reason if it can't
  // listen.
  bool Start(std::string* error);
  // Ends every coroutine in order, then calls `done`. A repeated call does nothing.
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
  const config::OperatorOptions operator_options_;
  async::Scope root_scope_;  // of all coroutines of the node
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
  std::unique_ptr<membership::Service> membership_;  // null if it is disabled
  Leader leader_;
  std::unique_ptr<BlockPlacementLoop> block_placement_;  // null if blocks are disabled
  store::LinearizableRead linearizable_read_;
  StartPermission start_permission_;
  CancellationFence cancellation_fence_;
  api::UserApi user_api_;
  RequestRouter router_;
  net::HttpServer server_;
  net::PeerMesh peers_;
  RecordDispatcher record_dispatcher_;
};

}  // namespace hallpier::controller
