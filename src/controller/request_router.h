// Routes the HTTP requests to a node: workers' heartbeats, users' requests and health checks. Owned
// by the controller; runs in the coroutines of its HTTP server.
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

  // Stores references to its arguments, which may be constructed after it but must outlive it.
  // `membership` is null if the membership is disabled.
  RequestRouter(const NodeServices& services, Leader& leader, api::UserApi& user_api,
                const std::unique_ptr<membership::Service>& membership, const net::PeerMesh& peers)
      : services_(services),
        leader_(leader),
        user_api_(user_api),
        membership_(membership),
        peers_(peers) {}

  // Returns the response to a request: 404 for an unknown path, 405 for a method that its path does
  // not accept, and 503 instead of a successful response to a user if this process was paused while
  // it handled the request, since the response may be out of date.
  async::Task<wire::HttpResponse> Handle(wire::HttpRequest request);

 private:
  async::Task<wire::HttpResponse> Route(wire::HttpRequest request);
  // True if the load balancer should send users' requests to this node.
  bool Ready() const;
  wire::HttpResponse HandleReady() const;
  async::Task<wire::HttpResponse> HandleHeartbeat(std::string body);

  const NodeServices& services_;
  Leader& leader_;
  api::UserApi& user_api_;
  const std::unique_ptr<membership::Service>& membership_;
  const net::PeerMesh& peers_;
};

}  // namespace hallpier::controller
