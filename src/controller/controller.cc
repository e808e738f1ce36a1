#include "controller/controller.h"

#include <spdlog/spdlog.h>

#include <chrono>

#include "wire/user_codec.h"
#include "wire/worker_codec.h"

namespace hallpier::controller {
namespace {

constexpr std::string_view kHeartbeatPath = "/checkin";
constexpr std::string_view kReady = "/ready";
constexpr size_t kMaxRequestBody = size_t{64} * 1024;
// The largest answer of the state service that is read, as a part of this machine's memory.
constexpr double kBodyShare = 1.0 / 8;
// Connections that a node takes in, as parts of its sockets. Direct commands have a part of their
// own (LeaderLoop); the rest is for calls to the state service, the cloud and the other nodes.
constexpr double kWorkerSockets = 0.74;
constexpr double kUserSockets = 0.14;
constexpr double kStateTimeoutS = 1.0;
// Polls wait for the warm copy no longer than this; there must be time left to read for themselves.
constexpr double kBarrierS = 0.6 * kStateTimeoutS;
// Looks for a pause of the process within the shortest one that counts.
constexpr double kPauseChecks = 10;
constexpr int kFirstErrorStatus = 400;

double TimeOfDay() {
  using std::chrono::duration;
  return duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

store::Client::Options StateOptions(const config::Settings& s) {
  store::Client::Options o;
  o.endpoint = s.state;
  o.rps = s.state_rps;
  o.write_rps = s.state_write_rps;
  if (s.state_next) {
    o.next_rps = s.least().rps;
    o.next_write_rps = s.least().write_rps;
  }
  o.size = s.size;
  o.timeout_s = kStateTimeoutS;
  o.max_body = static_cast<size_t>(s.memory_mb * kBodyShare * 1024 * 1024);
  return o;
}

// What this node records that it understands (store::RecordFormats).
uint64_t NodeFormatOf(const config::Operator& operators) {
  if (operators.blocks.enabled) return store::kBlocksFormat;
  return operators.membership.enabled ? store::kMembershipFormat : store::kCancellationReportFormat;
}

// Neither a crowd of users nor one of workers keeps the other, or the health checks, from a node.
net::HttpServer::Limits ServerLimits(const config::Settings& s) {
  const auto workers = static_cast<size_t>(s.max_sockets * kWorkerSockets);
  const auto users = static_cast<size_t>(s.max_sockets * kUserSockets);
  net::HttpServer::Limits limits;
  limits.max_connections = workers + users;
  limits.max_body = kMaxRequestBody;
  // A worker that says nothing for as long has lost its lease; users ask far more often.
  limits.idle_s = s.lease_s;
  limits.request_s = limits.quiet_s = s.heartbeat_interval_s * 3;
  limits.shares = {{.takes = [](const wire::HttpRequest& r) { return r.path() == kHeartbeatPath; },
                    .most = workers,
                    .periodic = true},
                   {[](const wire::HttpRequest& r) { return r.path() != kReady; }, users}};
  return limits;
}

}  // namespace

Controller::Controller(async::EventLoop& loop, config::Settings settings,
                       config::Operator operators)
    : settings_(std::move(settings)),
      operators_(operators),
      root_(loop),
      ending_(loop),
      job_table_(store::TasksPerTextGroup(settings_.value_kb)),
      client_(root_, StateOptions(settings_)),
      cache_(root_, client_, settings_.heartbeat_interval_s,
             [this](const std::string& key, const std::string& value) { OnState(key, value); }),
      formats_(root_, settings_, client_, cache_, NodeFormatOf(operators_)),
      dependency_outcomes_(root_, client_, cache_, job_table_, [this] { leader_loop_.OnChange(); }),
      election_(root_, settings_, operators_, client_, cache_,
                [this](async::Scope& term) { leader_loop_.Begin(term); }),
      watermark_({settings_.cancel_s, settings_.lease_s, settings_.heartbeat_interval_s},
                 settings_.OtherNodes()),
      leader_loop_(DependenciesOfLeader()),
      linearizable_read_(root_, client_, cache_, kBarrierS),
      users_({&settings_, &client_, &cache_, &linearizable_read_, &formats_, &job_table_,
              &machine_types_, TimeOfDay,
              [this](std::string id, double limit_s) {
                return dependency_outcomes_.Settled(std::move(id), limit_s);
              },
              [this](const std::string& id, uint64_t version) {
                peers_.Announce({{id, version}});
              }}),
      server_(root_, ServerLimits(settings_),
              [this](wire::HttpRequest r) { return Handle(std::move(r)); }),
      peers_(root_, settings_, PeerHooks()) {
  loop.WatchPauses(election_.MaxUnverifiedS());
  client_.SetRelay([this](wire::HttpRequest r) { return peers_.Relay(std::move(r)); });
  election_.SetOutageConfirmed([this] { return peers_.AllConfirmOutage(); });
  election_.SetMayRenew([this] { return MayRenew(); });
  if (operators_.membership.enabled) SetUpMembership();
  if (operators_.blocks.enabled) SetUpBlocks();
}

LeaderDependencies Controller::DependenciesOfLeader() {
  LeaderDependencies d;
  d.settings = &settings_;
  d.operators = &operators_;
  d.client = &client_;
  d.cache = &cache_;
  d.formats = &formats_;
  d.job_table = &job_table_;
  d.machine_types = &machine_types_;
  d.election = &election_;
  d.time_of_day = TimeOfDay;
  d.records = &block_records_;
  d.session = [this] { return Session(); };
  d.send = [this](const std::string& node, const wire::PeerMessage& message) {
    peers_.Send(node, message);
  };
  return d;
}

void Controller::SetUpBlocks() {
  PlacingLoop::Dependencies d;
  d.settings = &settings_;
  d.operators = &operators_;
  d.client = &client_;
  d.cache = &cache_;
  d.formats = &formats_;
  d.job_table = &job_table_;
  d.machine_types = &machine_types_;
  d.records = &block_records_;
  d.session = [this] { return Session(); };
  d.leading = [this] { return election_.leading(); };
  d.time_of_day = TimeOfDay;
  placing_ = std::make_unique<PlacingLoop>(root_, std::move(d));
}

void Controller::SetUpMembership() {
  membership::Service::Dependencies d;
  d.settings = &settings_;
  d.options = &operators_.membership;
  d.client = &client_;
  d.cache = &cache_;
  d.election = &election_;
  d.send = [this](const std::string& node, const wire::PeerMessage& message) {
    peers_.Send(node, message);
  };
  d.understands = [this](const std::string& node) { return formats_.UnderstandsMembership(node); };
  d.machines = [this] { return leader_loop_.ReportingMachines(); };
  membership_ = std::make_unique<membership::Service>(root_, std::move(d));
  election_.SetTakeHooks({.allowed = [this] { return membership_->MayLead(); },
                          .preconditions = [this] { return membership_->LeadPreconditions(); },
                          .delay_s = [this] { return membership_->TakeDelayS(); }});
}

net::PeerMesh::Hooks Controller::PeerHooks() {
  net::PeerMesh::Hooks h;
  h.status = [this] { return Status(); };
  h.execute = [this](wire::HttpRequest r) { return client_.ExecuteForPeer(std::move(r)); };
  h.on_status = [this](const wire::PeerStatus& s) { election_.Superseded(s.token); };
  h.on_refused = [this](const std::string& node) {
    election_.Suspect(node);
    if (membership_) membership_->OnRefused(node);
  };
  AddCancellationHooks(&h);
  if (operators_.membership.enabled) AddMembershipHooks(&h);
  if (operators_.blocks.enabled) AddBlockHooks(&h);
  return h;
}

void Controller::AddBlockHooks(net::PeerMesh::Hooks* hooks) {
  hooks->on_block_view = [this](const wire::BlockView& view) { return placing_->OnView(view); };
  hooks->on_block_acknowledged = [this](const std::string& node,
                                        const wire::BlockAcknowledgement& answer) {
    if (election_.leading()) leader_loop_.blocks()->OnAcknowledged(node, answer);
  };
}

void Controller::AddMembershipHooks(net::PeerMesh::Hooks* hooks) {
  hooks->on_link = [this](const std::string& node, bool up) {
    membership_->OnLink(node, up);
    if (leader_loop_.blocks() != nullptr) leader_loop_.blocks()->OnLink(node);
  };
  hooks->on_status_answered = [this](const std::string& node, double asked) {
    membership_->OnStatusAnswered(node, asked);
  };
  hooks->on_member_probe = [this](const wire::MemberProbe& p) { return membership_->OnProbe(p); };
  hooks->on_member_answer = [this](const std::string& node, const wire::MemberAnswer& a) {
    membership_->OnAnswer(node, a);
  };
  hooks->members_report = [this] { return membership_->Report(); };
}

void Controller::AddCancellationHooks(net::PeerMesh::Hooks* hooks) {
  hooks->understands_cancellation_reports = [this](const std::string& node) {
    return formats_.UnderstandsCancellationReports(node);
  };
  hooks->cancellation_report_request =
      [this](const std::string& node) -> std::optional<wire::CancellationReportRequest> {
    watermark_.OnComplete(cache_.current_as_of());
    const bool apart = client_.down() || watermark_.Stale(root_.loop().Now());
    if (!election_.leading() || !apart) return std::nullopt;
    return watermark_.RequestFor(node, cache_.revision());
  };
  hooks->cancellation_report = [this](const wire::CancellationReportRequest& q) {
    return CancellationReport(q);
  };
  hooks->on_cancellation_report = [this](const std::string& node, double asked,
                                         const wire::CancellationReport& v) {
    // Their tasks are told to stop before the word of this node counts.
    for (const wire::Cancellation& c : v.cancelled) OnCancelled(c);
    watermark_.OnCancellationReport(node, asked, v);
  };
  hooks->on_cancelled = [this](const wire::CancelNotice& n) { OnCancelled(n.cancelled); };
}

wire::CancellationReport Controller::CancellationReport(
    const wire::CancellationReportRequest& request) const {
  wire::CancellationReport v;
  v.revision = cache_.revision();
  for (const std::string& id : job_table_.CancelledJobs()) {
    const uint64_t version = cache_.Version(store::JobKey(id));
    if (version > request.beyond) v.cancelled.push_back({id, version});
  }
  // A process that was started anew and has read nothing since does not know what the one before
  // told. Nor is it known yet what becomes of a cancellation that is under way; without an answer
  // it is told to nobody, and whoever reads it later has it in its copy before it tells.
  v.complete =
      cache_.loaded() && users_.cancelling() == 0 && v.cancelled.size() <= wire::kMaxCancellations;
  if (!v.complete) v.cancelled.clear();
  return v;
}

void Controller::OnCancelled(const wire::Cancellation& cancelled) {
  // A job that is not known here has no tasks of ours; its record will come as it is by then.
  auto record = job_table_.CancelledRecord(cancelled.job);
  if (!record) return;
  spdlog::info("job {} is cancelled, as another node says", cancelled.job);
  cache_.Apply(store::JobKey(cancelled.job), store::WriteJob(*record), cancelled.version);
}

bool Controller::MayRenew() {
  watermark_.OnComplete(cache_.current_as_of());
  return watermark_.MayRenew(root_.loop().Now());
}

wire::PeerStatus Controller::Status() const {
  wire::PeerStatus s;
  s.node = settings_.node;
  s.token = election_.highest();
  s.leading = election_.leading();
  s.state_good = cache_.loaded() && !client_.down();
  return s;
}

bool Controller::Ready() const {
  if (!cache_.loaded()) return false;
  // Refused alone, with nobody to relay for us: users are better off elsewhere. While the service
  // is out for all, leaving the balancer would only make the return slower.
  return !client_.down() || peers_.AnyReachesState() || peers_.AllConfirmOutage() ||
         settings_.seeds.empty();
}

bool Controller::Start(std::string* error) {
  if (!server_.Listen(settings_.listen, error)) return false;
  if (!peers_.Start(error)) return false;
  root_.Spawn(cache_.Run());
  root_.Spawn(formats_.Run());
  root_.Spawn(dependency_outcomes_.Run());
  root_.Spawn(election_.Run());
  if (membership_) root_.Spawn(membership_->Run());
  if (placing_) root_.Spawn(placing_->Run());
  root_.Spawn(ConfirmCopyAfterPauses());
  spdlog::info("{} listens on {}", settings_.node, settings_.listen);
  return true;
}

async::Task<> Controller::Drain(std::function<void()> done) {
  co_await root_.Join();
  done();
}

async::Task<> Controller::LeaveInOrder(std::function<void()> done) {
  co_await membership_->Leave();
  CancelAndDrain(std::move(done));
}

void Controller::CancelAndDrain(std::function<void()> done) {
  root_.Cancel();
  ending_.Spawn(Drain(std::move(done)));
}

void Controller::Shutdown(std::function<void()> done) {
  if (root_.cancelled() || leaving_) return;
  leaving_ = true;
  if (membership_) {
    ending_.Spawn(LeaveInOrder(std::move(done)));
  } else {
    CancelAndDrain(std::move(done));
  }
}

void Controller::OnState(const std::string& key, const std::string& value) {
  const store::ParsedKey parsed = store::ParseKey(key);
  std::visit(
      store::Overloaded{
          [&](const store::LeaderKeyName&) {
            election_.OnRecord(value);
            if (membership_) membership_->OnLeaderRecord();
          },
          [&](const store::MemberKeyName& name) { OnMember(name.node, value); },
          [&](const store::DivisionKeyName&) {
            block_records_.PutDivision(value, cache_.Version(key));
            client_.SetOthersPlace(operators_.blocks.enabled &&
                                   block_records_.division().divided());
            OnPlacingChange();
          },
          [&](const store::ShareKeyName& name) {
            block_records_.PutShare(name.node, value, cache_.Version(key));
            OnPlacingChange();
          },
          [&](const store::MachineTypesKeyName& name) {
            machine_type_pages_.Put(name.page, value);
            if (auto all = machine_type_pages_.All()) machine_types_ = std::move(*all);
          },
          [&](const store::FormatKeyName&) {
            job_table_.Apply(parsed, value);
            formats_.OnFormatRecord(value);
          },
          [&](const store::NodeFormatKeyName& name) { formats_.OnNodeFormat(name.node, value); },
          [&](const store::JobKeyName& name) {
            job_table_.Apply(parsed, value);
            dependency_outcomes_.OnChange();
            leader_loop_.OnJobChanged(name.job);
            OnPlacingChange();
          },
          [&](const store::TaskGroupKeyName& name) {
            job_table_.Apply(parsed, value);
            leader_loop_.OnTasksChanged(name);
            OnPlacingChange();
          },
          [&](const store::FencingTokenKeyName&) {
            // A node without peers has nobody else to hear it from: a new token of its own that got
            // no answer and was carried out late makes every commit fail.
            election_.Superseded(cache_.fencing_token());
          },
          [](const store::FinalKeyName&) {},
          [](const store::UnknownKeyName&) {},
      },
      parsed);
}

void Controller::OnMember(const std::string& node, const std::string& value) {
  if (membership_) membership_->OnRecord(node, value);
  if (leader_loop_.blocks() == nullptr) return;
  leader_loop_.blocks()->OnMember(node,
                                  value.empty() ? std::nullopt : membership::ReadMember(value));
}

void Controller::OnPlacingChange() {
  if (placing_) placing_->OnChange();
}

wire::HttpResponse Controller::Checkin(const std::string& body) {
  if (membership_) membership_->OnWorkerReport();
  if (!election_.leading()) {
    const std::string leader = election_.leader();
    if (leader.empty() || leader == settings_.node) {
      return {.status = 503, .body = wire::WriteError("nobody leads"), .retry_after_s = 1};
    }
    return {.status = 421, .body = wire::WriteRedirect(leader)};
  }
  if (!election_.Entitled()) {
    return {.status = 503, .body = wire::WriteError("not entitled to act"), .retry_after_s = 1};
  }
  auto report = wire::ReadHeartbeat(body);
  if (!report) {
    spdlog::warn("a worker's report can't be read: {} bytes", body.size());
    return {.status = 400, .body = wire::WriteError("not a report")};
  }
  return leader_loop_.OnHeartbeat(*report);
}

async::Task<wire::HttpResponse> Controller::Handle(wire::HttpRequest request) {
  const double began = root_.loop().Now();
  const bool from_user = request.path() != kHeartbeatPath && request.path() != kReady;
  wire::HttpResponse response = co_await Route(std::move(request));
  // Read before a pause of the process, and perhaps older by now than what another node has told.
  const bool good = response.status < kFirstErrorStatus;
  if (from_user && good && root_.loop().resumed_at() > began) {
    response = {
        .status = 503, .body = wire::WriteError("this node was paused"), .retry_after_s = 1};
  }
  co_return response;
}

async::Task<> Controller::ConfirmCopyAfterPauses() {
  while (!root_.cancelled()) {
    async::Sleep pause(root_, election_.MaxUnverifiedS() / kPauseChecks);
    co_await pause;
    while (!root_.cancelled() && cache_.current_as_of() < root_.loop().resumed_at()) {
      const bool confirmed = co_await linearizable_read_.CatchUp();
      if (confirmed) break;
      async::Sleep retry(root_, kStateTimeoutS);
      co_await retry;
    }
  }
}

async::Task<wire::HttpResponse> Controller::Route(wire::HttpRequest request) {
  const std::string path(request.path());
  const bool get = request.method == "GET", post = request.method == "POST";
  constexpr std::string_view kJobs = "/submissions";
  constexpr std::string_view kWithdraw = "/withdraw";
  bool known = false;
  if (path == kHeartbeatPath) {
    if (post) co_return Checkin(request.body);
    known = true;
  } else if (path == kReady) {
    if (get) {
      const bool ready = Ready();
      co_return wire::HttpResponse{.status = ready ? 200 : 503, .body = "{}"};
    }
    known = true;
  } else if (path == kJobs) {
    if (post) {
      wire::HttpResponse r = co_await users_.Submit(std::move(request.body));
      co_return r;
    }
    known = true;
  } else if (path.starts_with("/submissions/")) {
    std::string id = path.substr(kJobs.size() + 1);
    if (id.ends_with(kWithdraw)) {
      id.resize(id.size() - kWithdraw.size());
      if (post) {
        wire::HttpResponse r = co_await users_.Cancel(std::move(id));
        co_return r;
      }
      known = true;
    } else if (id.find('/') == std::string::npos) {
      if (get) {
        wire::HttpResponse r = co_await users_.Poll(std::move(id));
        co_return r;
      }
      known = true;
    }
  }
  if (known) co_return wire::HttpResponse{.status = 405, .body = wire::WriteError("method")};
  co_return wire::HttpResponse{.status = 404, .body = wire::WriteError("no such path")};
}

}  // namespace hallpier::controller
