// One controller node: wires the packages together and answers requests.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "api/user_api.h"
#include "app/awaited_finals.h"
#include "app/leader_loop.h"
#include "app/placing_loop.h"
#include "config/settings.h"
#include "lead/cancellation_watermark.h"
#include "lead/leadership.h"
#include "membership/service.h"
#include "net/http_server.h"
#include "net/peer_mesh.h"
#include "rt/loop.h"
#include "store/client.h"
#include "store/flavor_pages.h"
#include "store/formats.h"
#include "store/replica.h"

namespace hallpier::app {

class Controller {
 public:
  Controller(rt::Loop& loop, config::Settings settings, config::Operator operators);

  // False, with a reason, if it can't listen.
  bool Start(std::string* error);
  // Ends every routine in order, then calls `done`.
  void Shutdown(std::function<void()> done);

 private:
  rt::Task<wire::HttpResponse> Handle(wire::HttpRequest request);
  rt::Task<wire::HttpResponse> Route(wire::HttpRequest request);
  // After a pause of the process, brings the warm copy up to date without waiting for its watch.
  rt::Task<> ConfirmCopyAfterPauses();
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
  LeaderDeps DepsOfLeader();
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
  rt::Task<> Drain(std::function<void()> done);
  rt::Task<> LeaveInOrder(std::function<void()> done);
  void CancelAndDrain(std::function<void()> done);

  const config::Settings settings_;
  const config::Operator operators_;
  rt::Scope root_;
  rt::Scope ending_;
  bool leaving_ = false;
  jobs::Ledger ledger_;
  store::FlavorPages flavor_pages_;
  std::vector<wire::Flavor> flavors_;
  store::Client client_;
  store::Replica replica_;
  store::Formats formats_;
  AwaitedFinals finals_;
  lead::Leadership leadership_;
  lead::CancellationWatermark watermark_;
  std::unique_ptr<membership::Service> membership_;  // null: it is off
  blocks::BlockRecords block_records_;
  LeaderLoop leader_loop_;
  std::unique_ptr<PlacingLoop> placing_;  // null: blocks are off
  store::Barrier barrier_;
  api::UserApi users_;
  net::HttpServer server_;
  net::PeerMesh peers_;
};

}  // namespace hallpier::app
