#include "controller/request_router.h"

#include <spdlog/spdlog.h>

#include "wire/user_codec.h"
#include "wire/worker_codec.h"

namespace hallpier::controller {
namespace {

constexpr std::string_view kJobsPath = "/submissions";
constexpr std::string_view kCancelSuffix = "/withdraw";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kFirstErrorStatus = kBadRequest;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kRetryAfterS = 1;

enum class Endpoint { kHeartbeat, kReady, kJobs, kJob, kCancelJob, kUnknown };

// The endpoint and the job that the path of a request refers to.
struct Target {
  Endpoint endpoint = Endpoint::kUnknown;
  std::string job;  // for kJob and kCancelJob
};

Target ParseTarget(const std::string& path) {
  if (path == RequestRouter::kHeartbeatPath) return {Endpoint::kHeartbeat, {}};
  if (path == RequestRouter::kReadyPath) return {Endpoint::kReady, {}};
  if (path == kJobsPath) return {Endpoint::kJobs, {}};
  if (!path.starts_with(kJobsPath) || path[kJobsPath.size()] != '/') return {};
  std::string job = path.substr(kJobsPath.size() + 1);
  if (job.ends_with(kCancelSuffix)) {
    job.resize(job.size() - kCancelSuffix.size());
    return {Endpoint::kCancelJob, std::move(job)};
  }
  if (job.find('/') != std::string::npos) return {};
  return {Endpoint::kJob, std::move(job)};
}

// Returns the only method that an endpoint accepts.
std::string_view AllowedMethod(Endpoint endpoint) {
  return endpoint == Endpoint::kReady || endpoint == Endpoint::kJob ? "GET" : "POST";
}

wire::HttpResponse Unavailable(const std::string& reason) {
  return {.status = kUnavailable, .body = wire::WriteError(reason), .retry_after_s = kRetryAfterS};
}

}  // namespace

async::Task<wire::HttpResponse> RequestRouter::Handle(wire::HttpRequest request) {
  const double started_at = services_.scope->loop().Now();
  const bool from_user = request.path() != kHeartbeatPath && request.path() != kReadyPath;
  wire::HttpResponse response = co_await Route(std::move(request));
  // If the process was paused after it had read the data, another node may have returned newer data
  // in the meantime.
  const bool succeeded = response.status < kFirstErrorStatus;
  if (from_user && succeeded && services_.scope->loop().resumed_at() > started_at) {
    response = Unavailable("this node was paused");
  }
  co_return response;
}

async::Task<wire::HttpResponse> RequestRouter::Route(wire::HttpRequest request) {
  Target target = ParseTarget(std::string(request.path()));
  if (target.endpoint == Endpoint::kUnknown) {
    co_return wire::HttpResponse{.status = kNotFound, .body = wire::WriteError("no such path")};
  }
  if (request.method != AllowedMethod(target.endpoint)) {
    co_return wire::HttpResponse{.status = kMethodNotAllowed, .body = wire::WriteError("method")};
  }
  if (target.endpoint == Endpoint::kReady) co_return HandleReady();
  wire::HttpResponse response;
  if (target.endpoint == Endpoint::kHeartbeat) {
    response = co_await HandleHeartbeat(std::move(request.body));
  } else if (target.endpoint == Endpoint::kJobs) {
    response = co_await user_api_.Submit(std::move(request.body));
  } else if (target.endpoint == Endpoint::kJob) {
    response = co_await user_api_.Poll(std::move(target.job));
  } else {
    response = co_await user_api_.Cancel(std::move(target.job));
  }
  co_return response;
}

bool RequestRouter::Ready() const {
  if (!services_.cache->loaded()) return false;
  // If the state service refuses only this node and no peer can relay its requests, other nodes
  // serve users better. While the state service is down for all nodes, leaving the load balancer
  // would only delay the recovery.
  return !services_.client->down() || peers_.AnyPeerReachesState() ||
         peers_.AllPeersReportOutage() || services_.settings->seeds.empty();
}

wire::HttpResponse RequestRouter::HandleReady() const {
  return {.status = Ready() ? kOk : kUnavailable, .body = "{}"};
}

async::Task<wire::HttpResponse> RequestRouter::HandleHeartbeat(std::string body) {
  if (membership_) membership_->OnHeartbeat();
  const election::LeaderElection& election = *services_.election;
  if (!election.leading()) {
    const std::string leader = election.leader();
    if (leader.empty() || leader == services_.settings->node) {
      co_return Unavailable("nobody leads");
    }
    co_return wire::HttpResponse{.status = kMisdirected, .body = wire::WriteRedirect(leader)};
  }
  if (!election.MayAct()) co_return Unavailable("not entitled to act");
  auto report = wire::ReadHeartbeat(body);
  if (!report) {
    spdlog::warn("heartbeat: unreadable bytes={}", body.size());
    co_return wire::HttpResponse{.status = kBadRequest, .body = wire::WriteError("not a report")};
  }
  wire::HttpResponse response = co_await leader_.OnHeartbeat(std::move(*report));
  co_return response;
}

}  // namespace hallpier::controller
