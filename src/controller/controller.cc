#include "controller/controller.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <optional>

#include "config/operator_options.h"
#include "controller/cache_revalidation.h"

namespace hallpier::controller {
namespace {

constexpr size_t kMaxRequestBody = size_t{64} * 1024;
// The largest answer of the key-value store that is read, as a part of this machine's memory.
constexpr double kBodyShare = 1.0 / 8;
// Connections that a node accepts, as parts of its sockets. Direct commands have a part of their
// own (CommandDispatcher); the rest is for calls to the key-value store, the cloud and the other
// nodes.
constexpr double kWorkerSockets = 0.74;
constexpr double kUserSockets = 0.14;
constexpr double kStateTimeoutS = 1.0;
// Users' reads wait for the copy of the records no longer than this; there must be time left to
// read the record itself.
constexpr double kBarrierS = 0.6 * kStateTimeoutS;
// A request must be complete, and a silent connection may be closed for others, after this many
// heartbeat intervals.
constexpr double kRequestHeartbeats = 3;

double TimeOfDay() {
  using std::chrono::duration;
  return duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

store::Client::Options StateOptions(const config::Settings& settings) {
  store::Client::Options options;
  options.endpoint = settings.state;
  options.rps = settings.state_rps;
  options.write_rps = settings.state_write_rps;
  if (settings.state_next) {
    options.next_rps = settings.SmallestStateLimits().rps;
    options.next_write_rps = settings.SmallestStateLimits().write_rps;
  }
  options.size = settings.size;
  options.timeout_s = kStateTimeoutS;
  options.max_body = static_cast<size_t>(settings.memory_mb * kBodyShare * 1024 * 1024);
  return options;
}

// What this node records that it understands (store::RecordFormats).
uint64_t NodeFormatOf(const config::OperatorOptions& operators) {
  if (operators.blocks.enabled) return store::kBlocksFormat;
  return operators.membership.enabled ? store::kMembershipFormat : store::kCancellationReportFormat;
}

// Neither many users nor many workers keep the others, or the health checks, from a node.
net::HttpServer::Limits ServerLimits(const config::Settings& settings) {
  const auto workers = static_cast<size_t>(settings.max_sockets * kWorkerSockets);
  const auto users = static_cast<size_t>(settings.max_sockets * kUserSockets);
  net::HttpServer::Limits limits;
  limits.max_connections = workers + users;
  limits.max_body = kMaxRequestBody;
  // A worker that sends nothing for as long has lost its lease; users ask far more often.
  limits.idle_s = settings.lease_s;
  limits.request_s = settings.heartbeat_interval_s * kRequestHeartbeats;
  limits.quiet_s = limits.request_s;
  auto from_worker = [](const wire::HttpRequest& request) {
    return request.path() == RequestRouter::kHeartbeatPath;
  };
  auto from_user = [](const wire::HttpRequest& request) {
    return request.path() != RequestRouter::kReadyPath;
  };
  limits.shares = {{.takes = from_worker, .most = workers, .periodic = true},
                   {.takes = from_user, .most = users}};
  return limits;
}

}  // namespace

// Parts refer to others that are constructed later. None of them uses these before the loop runs.
Controller::Controller(async::EventLoop& loop, config::Settings settings,
                       config::OperatorOptions operators)
    : settings_(std::move(settings)),
      operators_(operators),
      root_(loop),
      shutdown_(root_),
      job_table_(store::TasksPerTextGroup(settings_.value_kb)),
      client_(root_, StateOptions(settings_)),
      cache_(root_, client_, settings_.heartbeat_interval_s,
             [this](const std::string& key, const std::string& value) {
               state_dispatcher_.OnRecord(key, value);
             }),
      formats_(root_, settings_, client_, cache_, NodeFormatOf(operators_)),
      dependency_outcomes_(root_, client_, cache_, job_table_, [this] { leader_.RequestRound(); }),
      election_policy_(membership_, cancellations_, peers_),
      election_(root_, settings_, operators_, client_, cache_, election_policy_,
                [this](async::Scope& term) { leader_.Begin(term); }),
      services_(MakeServices()),
      cancellations_(services_, [this] { return users_.cancelling(); }),
      membership_(operators_.membership.enabled ? MakeMembership() : nullptr),
      leader_(services_),
      block_holder_(operators_.blocks.enabled ? std::make_unique<BlockPlacementLoop>(services_)
                                              : nullptr),
      linearizable_read_(root_, client_, cache_, kBarrierS),
      users_(UserApiDependencies()),
      router_(services_, leader_, users_, membership_, peers_),
      server_(root_, ServerLimits(settings_),
              [this](wire::HttpRequest request) { return router_.Handle(std::move(request)); }),
      peers_(root_, settings_, PeerHooks()),
      state_dispatcher_(services_, leader_, dependency_outcomes_, membership_, block_holder_) {
  loop.WatchPauses(election_.MaxRenewalGapS());
  client_.SetRelay([this](wire::HttpRequest request) { return peers_.Relay(std::move(request)); });
}

NodeServices Controller::MakeServices() {
  NodeServices services;
  services.scope = &root_;
  services.settings = &settings_;
  services.operators = &operators_;
  services.client = &client_;
  services.cache = &cache_;
  services.formats = &formats_;
  services.job_table = &job_table_;
  services.machine_types = &machine_types_;
  services.block_records = &block_records_;
  services.election = &election_;
  services.time_of_day = TimeOfDay;
  services.session = [this] { return membership_ ? membership_->session() : 0; };
  services.send = [this](const std::string& node, const wire::PeerMessage& message) {
    peers_.Send(node, message);
  };
  return services;
}

std::unique_ptr<membership::Service> Controller::MakeMembership() {
  membership::Service::Dependencies dependencies;
  dependencies.settings = &settings_;
  dependencies.options = &operators_.membership;
  dependencies.client = &client_;
  dependencies.cache = &cache_;
  dependencies.election = &election_;
  dependencies.send = services_.send;
  dependencies.understands = [this](const std::string& node) {
    return formats_.UnderstandsMembership(node);
  };
  dependencies.machines = [this] { return leader_.ReportingMachines(); };
  return std::make_unique<membership::Service>(root_, std::move(dependencies));
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
  dependencies.settled = [this](std::string id, double limit_s) {
    return dependency_outcomes_.AwaitKnown(std::move(id), limit_s);
  };
  dependencies.announce = [this](const std::string& id, uint64_t version) {
    peers_.Announce({{id, version}});
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
  hooks.on_refused = [this](const std::string& node) {
    election_.OnNodeFailed(node);
    if (membership_) membership_->OnRefused(node);
  };
  AddCancellationHooks(&hooks);
  if (operators_.membership.enabled) AddMembershipHooks(&hooks);
  if (operators_.blocks.enabled) AddBlockHooks(&hooks);
  return hooks;
}

void Controller::AddBlockHooks(net::PeerMesh::Hooks* hooks) {
  hooks->on_block_view = [this](const wire::BlockView& view) {
    return block_holder_->OnView(view);
  };
  hooks->on_block_acknowledged = [this](const std::string& node,
                                        const wire::BlockAcknowledgement& answer) {
    if (election_.leading()) leader_.blocks()->OnAcknowledged(node, answer);
  };
}

void Controller::AddMembershipHooks(net::PeerMesh::Hooks* hooks) {
  hooks->on_link = [this](const std::string& node, bool connected) {
    membership_->OnLink(node, connected);
    if (leader_.blocks() != nullptr) leader_.blocks()->OnLink(node);
  };
  hooks->on_status_answered = [this](const std::string& node, double asked) {
    membership_->OnStatusAnswered(node, asked);
  };
  hooks->on_member_probe = [this](const wire::MemberProbe& probe) {
    return membership_->OnProbe(probe);
  };
  hooks->on_member_answer = [this](const std::string& node, const wire::MemberAnswer& answer) {
    membership_->OnAnswer(node, answer);
  };
  hooks->members_report = [this] { return membership_->Report(); };
}

void Controller::AddCancellationHooks(net::PeerMesh::Hooks* hooks) {
  hooks->understands_cancellation_reports = [this](const std::string& node) {
    return formats_.UnderstandsCancellationReports(node);
  };
  hooks->cancellation_report_request = [this](const std::string& node) {
    return cancellations_.RequestFor(node);
  };
  hooks->cancellation_report = [this](const wire::CancellationReportRequest& request) {
    return cancellations_.Report(request);
  };
  hooks->on_cancellation_report = [this](const std::string& node, double asked,
                                         const wire::CancellationReport& report) {
    cancellations_.OnReport(node, asked, report);
  };
  hooks->on_cancelled = [this](const wire::CancelNotice& notice) {
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
  root_.Spawn(cache_.Run());
  root_.Spawn(formats_.Run());
  root_.Spawn(dependency_outcomes_.Run());
  root_.Spawn(election_.Run());
  if (membership_) root_.Spawn(membership_->Run());
  if (block_holder_) root_.Spawn(block_holder_->Run());
  root_.Spawn(ConfirmCopyAfterPauses(services_, linearizable_read_, kStateTimeoutS));
  spdlog::info("start: listening node={} address={}", settings_.node, settings_.listen);
  return true;
}

void Controller::Shutdown(std::function<void()> done) {
  shutdown_.Begin(membership_.get(), std::move(done));
}

}  // namespace hallpier::controller
