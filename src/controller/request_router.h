// Answers the HTTP requests that reach a node: workers' heartbeats, users' requests and health
// checks. Owned by the controller; runs in the routines of its HTTP server.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "api/user_api.h"
#include "async/wait.h"
#include "controller/leader.h"
#include "controller/node_services.h"
#include "membership/service.h"
#include "net/peer_mesh.h"
#include "wire/http.h"

namespace hallpier::controller {

class RequestRouter {
 public:
  static constexpr std::string_view kHeartbeatPath = "/checkin";
  static constexpr std::string_view kReadyPath = "/ready";

  // Only refers to its arguments, which may be constructed after it but must outlive it.
  // `membership`: null while membership is off.
  RequestRouter(const NodeServices& services, Leader& leader, api::UserApi& users,
                const std::unique_ptr<membership::Service>& membership, const net::PeerMesh& peers)
      : services_(services),
        leader_(leader),
        users_(users),
        membership_(membership),
        peers_(peers) {}

  // Answers a request: 404 for an unknown path, 405 for a method that its path does not take, and
  // 503 in place of a user's good answer that a pause of this process has made an old one.
  async::Task<wire::HttpResponse> Handle(wire::HttpRequest request);

 private:
  async::Task<wire::HttpResponse> Route(wire::HttpRequest request);
  // True if users are to be sent to this node.
  bool Ready() const;
  wire::HttpResponse AnswerReady() const;
  wire::HttpResponse AnswerHeartbeat(const std::string& body);

  const NodeServices& services_;
  Leader& leader_;
  api::UserApi& users_;
  const std::unique_ptr<membership::Service>& membership_;
  const net::PeerMesh& peers_;
};

}  // namespace hallpier::controller
