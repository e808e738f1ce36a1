// One controller node: wires the packages together and answers requests.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "api/user_api.h"
#include "async/event_loop.h"
#include "config/settings.h"
#include "controller/dependency_outcomes.h"
#include "controller/leader_loop.h"
#include "controller/placing_loop.h"
#include "election/cancellation_watermark.h"
#include "election/leader_election.h"
#include "membership/service.h"
#include "model/machine_type.h"
#include "net/http_server.h"
#include "net/peer_mesh.h"
#include "store/client.h"
#include "store/machine_type_pages.h"
#include "store/record_formats.h"
#include "store/watch_cache.h"

namespace hallpier::controller {

class Controller {
 public:
  Controller(async::EventLoop& loop, config::Settings settings, config::Operator operators);

  // False, with a reason, if it can't listen.
  bool Start(std::string* error);
  // Ends every routine in order, then calls `done`.
  void Shutdown(std::function<void()> done);

 private:
  async::Task<wire::HttpResponse> Handle(wire::HttpRequest request);
  async::Task<wire::HttpResponse> Route(wire::HttpRequest request);
  // After a pause of the process, brings the warm copy up to date without waiting for its watch.
  async::Task<> ConfirmCopyAfterPauses();
  wire::HttpResponse Checkin(const std::string& body);
  wire::PeerStatus Status() const;
  net::PeerMesh::Hooks PeerHooks();
  void AddCancellationHooks(net::PeerMesh::Hooks* hooks);
  void AddMembershipHooks(net::PeerMesh::Hooks* hooks);
  void AddBlockHooks(net::PeerMesh::Hooks* hooks);
  // Creates the membership's routine; it is off unless the operators' settings say otherwise.
  void SetUpMembership();
  // Creates the routine of a block's holder, likewise.
  void SetUpBlocks();
  LeaderDependencies DependenciesOfLeader();
  uint64_t Session() const { return membership_ ? membership_->session() : 0; }
  void OnMember(const std::string& node, const std::string& value);
  // Something changed that a holder's round should look at.
  void OnPlacingChange();
  // What this node hands over to a leader that the state service does not answer.
  wire::CancellationReport CancellationReport(const wire::CancellationReportRequest& request) const;
  // A cancellation that was recorded by way of another node, ahead of the watch.
  void OnCancelled(const wire::Cancellation& cancelled);
  bool MayRenew();
  bool Ready() const;
  void OnState(const std::string& key, const std::string& value);
  async::Task<> Drain(std::function<void()> done);
  async::Task<> LeaveInOrder(std::function<void()> done);
  void CancelAndDrain(std::function<void()> done);

  const config::Settings settings_;
  const config::Operator operators_;
  async::Scope root_;
  async::Scope ending_;
  bool leaving_ = false;
  jobs::JobTable job_table_;
  store::MachineTypePages machine_type_pages_;
  std::vector<model::MachineType> machine_types_;
  store::Client client_;
  store::WatchCache cache_;
  store::RecordFormats formats_;
  DependencyOutcomes dependency_outcomes_;
  election::LeaderElection election_;
  election::CancellationWatermark watermark_;
  std::unique_ptr<membership::Service> membership_;  // null: it is off
  blocks::BlockRecords block_records_;
  LeaderLoop leader_loop_;
  std::unique_ptr<PlacingLoop> placing_;  // null: blocks are off
  store::LinearizableRead linearizable_read_;
  api::UserApi users_;
  net::HttpServer server_;
  net::PeerMesh peers_;
};

}  // namespace hallpier::controller
