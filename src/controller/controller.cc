#include "controller/controller.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <optional>

#include "config/operator_options.h"
#include "controller/cache_revalidation.h"

namespace hallpier::controller {
namespace {

constexpr size_t kMaxRequestBodyBytes = size_t{64} * 1024;
// Size limit of a response of the state service, as a fraction of this machine's memory.
constexpr double kResponseMemoryShare = 1.0 / 8;
// Connections that a node accepts, as fractions of its sockets. Direct commands have a separate
// fraction (CommandDispatcher); the rest is for calls to the state service, the cloud and the other
// nodes.
constexpr double kWorkerSocketShare = 0.74;
constexpr double kUserSocketShare = 0.14;
constexpr double kStateTimeoutS = 1.0;
// Time limit for a user's read to wait until the watch cache has caught up. It is below the timeout
// so that time remains to read the record itself.
constexpr double kReadBarrierTimeoutS = 0.6 * kStateTimeoutS;
// Heartbeat intervals after which a request must be complete, and after which a silent connection
// may be closed in favour of another.
constexpr double kRequestTimeoutHeartbeats = 3;

double TimeOfDay() {
  using std::chrono::duration;
  return duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

store::Client::Options StateOptions(const config::Settings& settings) {
  store::Client::Options options;
  options.endpoint = settings.state;
  options.rps = settings.state_rps;
  options.write_rps = settings.state_write_rps;
  if (settings.next_state_limits) {
    options.lowered_rps = settings.SmallestStateLimits().rps;
    options.lowered_write_rps = settings.SmallestStateLimits().write_rps;
  }
  options.node_count = settings.cluster_size;
  options.timeout_s = kStateTimeoutS;
  options.max_response_bytes =
      static_cast<size_t>(settings.memory_mb * kResponseMemoryShare * 1024 * 1024);
  return options;
}

// Returns the record format that this node declares to understand (store::RecordFormats).
uint64_t NodeFormatOf(const config::OperatorOptions& operator_options) {
  if (operator_options.blocks.enabled) return store::kBlocksFormat;
  return operator_options.membership.enabled ? store::kMembershipFormat
                                             : store::kCancellationReportFormat;
}

// Limits connections so that neither users nor workers can exhaust the connections of each other or
// of the health checks.
net::HttpServer::Limits ServerLimits(const config::Settings& settings) {
  const auto workers = static_cast<size_t>(settings.max_sockets * kWorkerSocketShare);
  const auto users = static_cast<size_t>(settings.max_sockets * kUserSocketShare);
  net::HttpServer::Limits limits;
  limits.max_connections = workers + users;
  limits.max_body_bytes = kMaxRequestBodyBytes;
  // A worker that sends nothing for this long has lost its lease; users send requests far more
  // often.
  limits.idle_s = settings.lease_s;
  limits.request_s = settings.heartbeat_interval_s * kRequestTimeoutHeartbeats;
  limits.evictable_after_s = limits.request_s;
  auto from_worker = [](const wire::HttpRequest& request) {
    return request.path() == RequestRouter::kHeartbeatPath;
  };
  auto from_user = [](const wire::HttpRequest& request) {
    return request.path() != RequestRouter::kReadyPath;
  };
  limits.connection_classes = {{.matches = from_worker, .reserved = workers, .periodic = true},
                               {.matches = from_user, .reserved = users}};
  return limits;
}

}  // namespace

// Some components refer to others that are constructed later, but none of them uses these before
// the loop runs.
Controller::Controller(async::EventLoop& loop, config::Settings settings,
                       config::OperatorOptions operator_options)
    : settings_(std::move(settings)),
      operator_options_(operator_options),
      root_scope_(loop),
      shutdown_(root_scope_),
      job_table_(store::TasksPerTextGroup(settings_.value_kb)),
      client_(root_scope_, StateOptions(settings_)),
      cache_(
          root_scope_, client_, settings_.heartbeat_interval_s,
          [this](const std::string& key, const std::string& value) {
            record_dispatcher_.OnRecordChanged(key, value);
          },
          [this] { record_dispatcher_.OnBatchEnd(); }),
      formats_(root_scope_, settings_, client_, cache_, NodeFormatOf(operator_options_)),
      dependency_outcomes_(root_scope_, client_, cache_, job_table_,
                           [this] { leader_.RequestRound(); }),
      election_policy_(membership_, cancellations_, peers_),
      election_(root_scope_, settings_, operator_options_, client_, cache_, election_policy_,
                [this](async::Scope& term) { leader_.BeginTerm(term); }),
      services_(MakeServices()),
      cancellations_(services_, [this] { return user_api_.pending_cancellations(); }),
      membership_(operator_options_.membership.enabled ? MakeMembership() : nullptr),
      leader_(services_),
      block_placement_(operator_options_.blocks.enabled
                           ? std::make_unique<BlockPlacementLoop>(services_)
                           : nullptr),
      linearizable_read_(root_scope_, client_, cache_, kReadBarrierTimeoutS),
      start_permission_(root_scope_, cancellations_, linearizable_read_),
      cancellation_fence_(services_,
                          [this](std::string node, wire::CancelNotice notice, double limit_s) {
                            return peers_.DeliverCancellation(std::move(node), std::move(notice),
                                                              limit_s);
                          }),
      user_api_(UserApiDependencies()),
      router_(services_, leader_, user_api_, membership_, peers_),
      server_(root_scope_, ServerLimits(settings_),
              [this](wire::HttpRequest request) { return router_.Handle(std::move(request)); }),
      peers_(root_scope_, settings_, PeerHooks()),
      record_dispatcher_(services_, leader_, cancellation_fence_, dependency_outcomes_, membership_,
                         block_placement_) {
  loop.DetectPauses(election_.MaxRenewalGapS());
  client_.SetRelay([this](wire::HttpRequest request) { return peers_.Relay(std::move(request)); });
}

NodeServices Controller::MakeServices() {
  NodeServices services;
  services.scope = &root_scope_;
  services.settings = &settings_;
  services.operator_options = &operator_options_;
  services.client = &client_;
  services.cache = &cache_;
  services.formats = &formats_;
  services.job_table = &job_table_;
  services.machine_types = &machine_types_;
  services.block_records = &block_records_;
  services.election = &election_;
  services.start_permission = &start_permission_;
  services.time_of_day = TimeOfDay;
  services.membership_session = [this] { return membership_ ? membership_->session() : 0; };
  services.send_to_node = [this](const std::string& node, const wire::PeerMessage& message) {
    peers_.Send(node, message);
  };
  return services;
}

std::unique_ptr<membership::Service> Controller::MakeMembership() {
  membership::Service::Dependencies dependencies;
  dependencies.settings = &settings_;
  dependencies.options = &operator_options_.membership;
  dependencies.client = &client_;
  dependencies.cache = &cache_;
  dependencies.election = &election_;
  dependencies.send = services_.send_to_node;
  dependencies.supports_membership = [this](const std::string& node) {
    return formats_.SupportsMembership(node);
  };
  dependencies.expected_machines = [this] { return leader_.ReportingMachineCount(); };
  return std::make_unique<membership::Service>(root_scope_, std::move(dependencies));
}

api::UserApi::Deps Controller::UserApiDependencies() {
  api::UserApi::Deps dependencies;
  dependencies.settings = &settings_;
  dependencies.client = &client_;
  dependencies.cache = &cache_;
  dependencies.linearizable_read = &linearizable_read_;
  dependencies.formats = &formats_;
  dependencies.job_table = &job_table_;
  dependencies.machine_types = &machine_types_;
  dependencies.time_of_day = TimeOfDay;
  dependencies.wait_for_dependencies = [this](std::string id, double limit_s) {
    return dependency_outcomes_.AwaitResolved(std::move(id), limit_s);
  };
  dependencies.await_cancellation_effective = [this](std::string id) {
    return cancellation_fence_.AwaitEffective(std::move(id));
  };
  dependencies.broadcast_cancellation = [this](const std::string& id, uint64_t version) {
    peers_.BroadcastCancellation({{id, version}});
  };
  return dependencies;
}

net::PeerMesh::Hooks Controller::PeerHooks() {
  net::PeerMesh::Hooks hooks;
  hooks.status = [this] { return Status(); };
  hooks.execute = [this](wire::HttpRequest request) {
    return client_.ExecuteForPeer(std::move(request));
  };
  hooks.on_status = [this](const wire::PeerStatus& status) { election_.OnTokenSeen(status.token); };
  hooks.on_connection_refused = [this](const std::string& node) {
    election_.OnNodeFailed(node);
    if (membership_) membership_->OnConnectionRefused(node);
  };
  AddCancellationHooks(&hooks);
  if (operator_options_.membership.enabled) AddMembershipHooks(&hooks);
  if (operator_options_.blocks.enabled) AddBlockHooks(&hooks);
  return hooks;
}

void Controller::AddBlockHooks(net::PeerMesh::Hooks* hooks) {
  hooks->on_block_view = [this](const wire::BlockView& view) {
    return block_placement_->OnView(view);
  };
  hooks->on_block_acknowledged = [this](const std::string& node,
                                        const wire::BlockAcknowledgement& acknowledgement) {
    if (election_.leading()) leader_.block_coordinator()->OnAcknowledged(node, acknowledgement);
  };
}

void Controller::AddMembershipHooks(net::PeerMesh::Hooks* hooks) {
  hooks->on_link = [this](const std::string& node, bool connected) {
    membership_->OnLink(node, connected);
    if (leader_.block_coordinator() != nullptr) leader_.block_coordinator()->OnLinkChanged(node);
  };
  hooks->on_status_answered = [this](const std::string& node, double requested_at) {
    membership_->OnStatusAnswered(node, requested_at);
  };
  hooks->on_member_probe = [this](const wire::MemberProbe& probe) {
    return membership_->OnProbe(probe);
  };
  hooks->on_member_probe_response = [this](const std::string& node,
                                           const wire::MemberProbeResponse& response) {
    membership_->OnProbeResponse(node, response);
  };
  hooks->members_report = [this] { return membership_->Report(); };
}

void Controller::AddCancellationHooks(net::PeerMesh::Hooks* hooks) {
  hooks->supports_cancellation_reports = [this](const std::string& node) {
    return formats_.SupportsCancellationReports(node);
  };
  hooks->cancellation_report_request = [this](const std::string& node) {
    return cancellations_.BuildReportRequest(node);
  };
  hooks->cancellation_report = [this](const wire::CancellationReportRequest& request) {
    return cancellations_.BuildReport(request);
  };
  hooks->on_cancellation_report = [this](const std::string& node, double requested_at,
                                         const wire::CancellationReport& report) {
    cancellations_.OnReport(node, requested_at, report);
  };
  hooks->on_cancel_notice = [this](const wire::CancelNotice& notice) {
    cancellations_.OnCancellation(notice.cancelled);
  };
}

wire::PeerStatus Controller::Status() const {
  wire::PeerStatus status;
  status.node = settings_.node;
  status.token = election_.HighestToken();
  status.leading = election_.leading();
  status.state_reachable = cache_.loaded() && !client_.down();
  return status;
}

bool Controller::Start(std::string* error) {
  if (!server_.Listen(settings_.listen, error)) return false;
  if (!peers_.Start(error)) return false;
  root_scope_.Spawn(cache_.Run());
  root_scope_.Spawn(formats_.Run());
  root_scope_.Spawn(dependency_outcomes_.Run());
  root_scope_.Spawn(election_.Run());
  if (membership_) root_scope_.Spawn(membership_->Run());
  if (block_placement_) root_scope_.Spawn(block_placement_->Run());
  root_scope_.Spawn(RevalidateCacheAfterPauses(services_, linearizable_read_, kStateTimeoutS));
  spdlog::info("start: listening node={} address={}", settings_.node, settings_.listen);
  return true;
}

void Controller::Shutdown(std::function<void()> done) {
  shutdown_.Begin(membership_.get(), std::move(done));
}

}  // namespace hallpier::controller
