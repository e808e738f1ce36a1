#include "platform.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include "wire/json.h"

namespace review {
namespace {

using hallpier::wire::JsonValue;
using hallpier::wire::JsonWriter;

// "A request body may be at most 64 KiB. No line in a response to workers or users may be longer
// than 64 KiB."
constexpr size_t kMaxBytes = size_t{64} * 1024;
constexpr double kWorkerTimeoutS = 4;
constexpr double kUserTimeoutS = 5;
constexpr double kPollTimeoutS = 2;

std::mt19937& Random() {
  static std::mt19937 random(1);
  return random;
}

HttpResponse Reply(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace

std::string FreeAddress() {
  // Ports below the range that the system gives to outgoing connections, taken in order, so that
  // no connection of a test takes a port before its server listens.
  static int next = 10000 + static_cast<int>(getpid() % 200) * 100;
  while (true) {
    const int port = next++;
    if (next > 31999) next = 10000;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<uint16_t>(port));
    const bool is_free = bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
    close(fd);
    if (is_free) return "127.0.0.1:" + std::to_string(port);
  }
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string JobInfo::Body() const {
  JsonWriter json;
  json.StartObject();
  json.Field("id").Text(id);
  json.Field("lane").Text(lane);
  json.Field("tenant").Text(team);
  json.Field("shape").Text(standing ? "standing" : "array");
  json.Field("urgency").Text(urgency);
  json.Field("pieces").Int(pieces);
  json.Field("vcpus").Double(cpus);
  json.Field("cards").Double(0);
  json.Field("memGb").Double(memory_gb);
  json.Field("bundle").Text("img-1");
  json.Field("sizeGb").Double(size_gb);
  if (!hall.empty()) json.Field("hall").Text(hall);
  json.Field("oneZone").Bool(one_zone);
  json.Field("spread").Bool(spread);
  json.Field("lendable").Bool(lendable);
  json.Field("expectS").Double(standing ? 0 : expect_s);
  json.Field("snapshotEveryS").Double(0);
  json.Field("snapshotS").Double(0);
  json.EndObject();
  return json.Take();
}

// ---- Worker

Worker::Worker(Platform& platform, std::string name, std::string zone, std::string endpoint,
               double up_at)
    : platform_(platform),
      name_(std::move(name)),
      zone_(std::move(zone)),
      endpoint_(std::move(endpoint)),
      rented_at_(platform.Now()),
      up_at_(up_at),
      scope_(platform.loop(), &platform.scope()),
      server_(scope_, {100, kMaxBytes, 600, 10, 600},
              [this](HttpRequest request) { return Handle(std::move(request)); }),
      client_(1, size_t{1} << 20) {}

bool Worker::Start() {
  std::string error;
  if (!server_.Listen(endpoint_, &error)) return false;
  controller_ = Random()() % platform_.nodes().size();
  scope_.Spawn(TickLoop());
  scope_.Spawn(ReportLoop());
  return true;
}

void Worker::End() {
  ended_ = true;
  for (auto& [name, piece] : pieces_) {
    if (piece.phase == "running") platform_.OnEnd(*this, name, piece.job, "machine gone");
  }
  pieces_.clear();
  scope_.Cancel();
}

bool Worker::up() const { return !ended_ && platform_.Now() >= up_at_; }

void Worker::SetHang(bool hang) {
  if (hang == hang_) return;
  hang_ = hang;
  if (hang) {
    hang_since_ = platform_.Now();
    return;
  }
  const double hung_s = platform_.Now() - hang_since_;
  for (auto& [name, piece] : pieces_) piece.ends_at += hung_s;
}

void Worker::SetSlow(double factor) {
  const double now = platform_.Now();
  for (auto& [name, piece] : pieces_) {
    if (piece.phase == "running" && piece.ends_at < 1e17) {
      piece.ends_at = now + (piece.ends_at - now) * factor / slow_;
    }
  }
  slow_ = factor;
}

int Worker::CountRunning(const std::string& job) const {
  return static_cast<int>(std::count_if(pieces_.begin(), pieces_.end(), [&](const auto& entry) {
    return entry.second.job == job && entry.second.phase == "running";
  }));
}

int Worker::CountAlive() const {
  return static_cast<int>(std::count_if(pieces_.begin(), pieces_.end(), [&](const auto& entry) {
    return entry.second.phase != "ended";
  }));
}

double Worker::FreeCpus() const {
  double used = 0;
  for (const auto& [name, piece] : pieces_) {
    if (piece.phase != "ended") used += platform_.Job(piece.job)->cpus;
  }
  return platform_.site().flavor.cpus - used;
}

double Worker::FreeMemory() const {
  double used = 0;
  for (const auto& [name, piece] : pieces_) {
    if (piece.phase != "ended") used += platform_.Job(piece.job)->memory_gb;
  }
  return platform_.site().flavor.memory_gb - used;
}

std::string Worker::Report() {
  JsonWriter json;
  json.StartObject();
  json.Field("host").Text(name_);
  json.Field("endpoint").Text(endpoint_);
  json.Field("flavor").Text(platform_.site().flavor.sku);
  json.Field("hall").Text(zone_);
  json.Field("lendable").Bool(false);
  json.Field("tenure").Uint64(tenure_);
  json.Field("tick").Uint64(++tick_);
  json.Field("epoch").Uint64(epoch_);
  json.Field("pieces").StartArray();
  for (const auto& [name, piece] : pieces_) {
    json.StartObject();
    json.Field("piece").Text(name);
    json.Field("try").Uint64(piece.attempt);
    json.Field("phase").Text(piece.phase);
    if (!piece.cause.empty()) json.Field("cause").Text(piece.cause);
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
  std::string report = json.Take();
  if (platform_.on_message) platform_.on_message(*this, report.size(), "report", report);
  return report;
}

void Worker::EndPiece(const std::string& name, Piece& piece, const std::string& cause) {
  if (piece.phase == "running") platform_.OnEnd(*this, name, piece.job, cause);
  piece.phase = "ended";
  piece.cause = cause;
  changed_ = true;
}

void Worker::Begin(const std::string& name, Piece& piece) {
  if (platform_.HasResult(name)) {
    EndPiece(name, piece, "done");
    return;
  }
  platform_.OnBegin(*this, name, piece.job);
  piece.phase = "running";
  changed_ = true;
  if (sick_ || platform_.Job(piece.job)->broken) {
    EndPiece(name, piece, "error");
    return;
  }
  const JobInfo* job = platform_.Job(piece.job);
  piece.ends_at = job->standing ? 1e18 : platform_.Now() + job->run_s * slow_;
}

void Worker::Run(const std::string& name, uint64_t attempt, const char* route) {
  changed_ = true;
  auto known = pieces_.find(name);
  if (known != pieces_.end() && known->second.attempt == attempt) return;
  const size_t slash = name.find('/');
  Piece piece;
  piece.job = name.substr(0, slash);
  piece.index = std::atoi(name.c_str() + slash + 1);
  piece.attempt = attempt;
  piece.phase = "pulling";
  const JobInfo* job = platform_.Job(piece.job);
  platform_.Log("run " + name + " try " + std::to_string(attempt) + " on " + name_ + " (" + zone_ +
                ") by " + route);
  if (known != pieces_.end() && known->second.phase != "ended") {
    // The page has one entry for a task here; the refused attempt is only logged.
    platform_.Log("refused busy " + name + " on " + name_);
    return;
  }
  if (job == nullptr) {
    piece.phase = "ended";
    piece.cause = "unknown";
  } else if (job->cpus > FreeCpus() + 1e-6 || job->memory_gb > FreeMemory() + 1e-6) {
    piece.phase = "ended";
    piece.cause = "no_room";
  }
  pieces_[name] = piece;
  if (piece.phase == "ended") return;
  Piece& placed = pieces_[name];
  if (image_cached_) {
    Begin(name, placed);
  } else {
    placed.ends_at = platform_.Now() + job->size_gb / platform_.site().flavor.fetch_gb_per_s;
  }
}

void Worker::Execute(const JsonValue& orders, const char* route) {
  for (const auto& order : orders.GetArray()) {
    const std::string verb = *hallpier::wire::GetText(order, "verb");
    const std::string name = *hallpier::wire::GetText(order, "piece");
    const uint64_t attempt = *hallpier::wire::GetCount(order, "try");
    if (verb == "run") {
      Run(name, attempt, route);
      continue;
    }
    auto known = pieces_.find(name);
    if (known == pieces_.end() || known->second.attempt != attempt) continue;
    if (verb == "stop" && known->second.phase != "ended") {
      platform_.Log("stop " + name + " on " + name_);
      EndPiece(name, known->second, "stopped");
    } else if (verb == "forget" && known->second.phase == "ended") {
      pieces_.erase(known);
      changed_ = true;
    }
  }
}

void Worker::ExpireLease() {
  if (platform_.Now() - lease_from_ <= platform_.site().lease_s) return;
  platform_.Log("lease of " + name_ + " expired, tasks " + std::to_string(CountAlive()));
  for (auto& [name, piece] : pieces_) {
    if (piece.phase == "running") platform_.OnEnd(*this, name, piece.job, "lease expired");
  }
  pieces_.clear();
  ++tenure_;
  lease_from_ = platform_.Now();
  changed_ = true;
}

Task<> Worker::AwaitAwake() {
  while (hang_ && !scope_.cancelled()) {
    Sleep wait(scope_, 0.05);
    co_await wait;
  }
}

Task<> Worker::TickLoop() {
  if (up_at_ > platform_.Now()) {
    Sleep boot(scope_, up_at_ - platform_.Now());
    co_await boot;
  }
  lease_from_ = platform_.Now();
  while (!scope_.cancelled()) {
    Sleep wait(scope_, 0.05);
    co_await wait;
    co_await AwaitAwake();
    if (scope_.cancelled()) break;
    ExpireLease();
    const double now = platform_.Now();
    std::vector<std::string> due;
    for (const auto& [name, piece] : pieces_) {
      if (piece.phase != "ended" && now >= piece.ends_at) due.push_back(name);
    }
    for (const std::string& name : due) {
      Piece& piece = pieces_[name];
      if (piece.phase == "pulling") {
        image_cached_ = true;
        Begin(name, piece);
      } else {
        EndPiece(name, piece, "done");
      }
    }
  }
}

Task<> Worker::ReportLoop() {
  if (up_at_ > platform_.Now()) {
    Sleep boot(scope_, up_at_ - platform_.Now() + 0.1);
    co_await boot;
  }
  while (!scope_.cancelled()) {
    Sleep wait(scope_, 0.05);
    co_await wait;
    co_await AwaitAwake();
    if (scope_.cancelled()) break;
    const double now = platform_.Now();
    const bool due = now >= next_report_ || (changed_ && now >= last_report_ + 0.5);
    if (!due) continue;
    co_await SendReport();
  }
}

Task<> Worker::SendReport() {
  std::uniform_real_distribution<double> vary(0.75, 1.25);
  const double sent_at = platform_.Now();
  const uint64_t tenure = tenure_;
  last_report_ = sent_at;
  next_report_ = sent_at + vary(Random()) * platform_.site().report_s;
  changed_ = false;
  HttpRequest request;
  request.method = "POST";
  request.target = "/checkin";
  request.body = Report();
  auto response = co_await client_.Call(scope_, platform_.nodes()[controller_].listen,
                                        std::move(request), kWorkerTimeoutS, false);
  co_await AwaitAwake();
  if (scope_.cancelled()) co_return;
  if (platform_.Now() - sent_at > kWorkerTimeoutS) response.reset();
  if (response && platform_.on_message) {
    platform_.on_message(*this, response->body.size(), "answer", response->body);
  }
  if (response && response->body.size() > kMaxBytes && platform_.drop_oversized) {
    platform_.Log("answer to " + name_ + " of " + std::to_string(response->body.size()) +
                  " bytes in one line is not taken");
    response.reset();
  }
  auto answer = response ? hallpier::wire::ParseObject(response->body) : std::nullopt;
  if (response && response->status == 200 && answer) {
    const uint64_t epoch = hallpier::wire::GetCount(*answer, "epoch").value_or(0);
    if (epoch < epoch_ || epoch == 0 || tenure != tenure_) co_return;
    if (epoch > epoch_) changed_ = true;
    epoch_ = epoch;
    lease_from_ = sent_at;
    Execute((*answer)["orders"], "answer");
    co_return;
  }
  const std::string foreman =
      response && response->status == 421 && answer
          ? hallpier::wire::GetText(*answer, "foreman").value_or("")
          : "";
  const auto& nodes = platform_.nodes();
  for (size_t i = 0; i < nodes.size(); ++i) {
    if (nodes[i].name == foreman && i != controller_) {
      controller_ = i;
      next_report_ = platform_.Now() + 0.1;
      co_return;
    }
  }
  controller_ = (controller_ + 1) % nodes.size();
  next_report_ = platform_.Now() + 1;
  last_report_ = platform_.Now() + 0.5;
}

Task<HttpResponse> Worker::Handle(HttpRequest request) {
  co_await AwaitAwake();
  if (!up()) co_return Reply(503, "{}");
  if (request.path() == "/show") co_return Reply(200, Report());
  if (platform_.on_message) {
    platform_.on_message(*this, request.body.size(), "commands", request.body);
  }
  auto command = hallpier::wire::ParseObject(request.body);
  auto epoch = command ? hallpier::wire::GetCount(*command, "epoch") : std::nullopt;
  auto tenure = command ? hallpier::wire::GetCount(*command, "tenure") : std::nullopt;
  if (!epoch || !tenure) co_return Reply(400, "{}");
  ExpireLease();
  if (*epoch < epoch_ || *tenure != tenure_) co_return Reply(409, Report());
  if (*epoch > epoch_) changed_ = true;
  epoch_ = *epoch;
  Execute((*command)["orders"], "command");
  co_return Reply(200, Report());
}

// ---- Platform

Platform::Platform(std::string root, std::string folder, Site site)
    : root_(std::move(root)), folder_(std::move(folder)), site_(std::move(site)), scope_(loop_) {
  started_at_ = loop_.Now();
  record_ = std::fopen((folder_ + "/record.txt").c_str(), "w");
}

Platform::~Platform() {
  for (Node& node : nodes_) KillNode(node);
  if (record_ != nullptr) std::fclose(record_);
  if (!directory_.empty()) {
    for (const Node& node : nodes_) {
      std::remove(node.settings_file.c_str());
      std::remove((directory_ + "/" + node.name + ".log").c_str());
    }
    rmdir(directory_.c_str());
  }
}

void Platform::Log(const std::string& line) {
  if (record_ == nullptr) return;
  std::fprintf(record_, "%8.3f %s\n", Now(), line.c_str());
  std::fflush(record_);
}

const JobInfo* Platform::Job(const std::string& id) const {
  auto job = jobs_.find(id);
  return job == jobs_.end() ? nullptr : &job->second;
}

std::string Platform::SettingsText(size_t number) const {
  const Node& own = nodes_[number];
  std::ostringstream out;
  out << "node = \"" << own.name << "\"\narea = \"" << own.area << "\"\nlisten = \"" << own.listen
      << "\"\npeer_bind = \"" << own.peer_bind << "\"\n";
  for (const Node& node : nodes_) {
    if (node.name == own.name) continue;
    out << "[[seeds]]\nnode = \"" << node.name << "\"\narea = \"" << node.area
        << "\"\nendpoint = \"" << node.peer_bind << "\"\n";
  }
  out << "[services]\ncloud = \"" << cloud_address_ << "\"\nstate = \"" << state_address_
      << "\"\n[params]\nsize = " << nodes_.size() << "\nzones = [";
  for (size_t i = 0; i < site_.zones.size(); ++i) {
    out << (i == 0 ? "" : ", ") << '"' << site_.zones[i] << '"';
  }
  out << "]\nskew_ms = 5.0\n"
         "[[params.teams]]\nname = \"desk-brno\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\n"
         "gpus_max = 0.0\n"
         "[[params.objectives]]\nkind = \"finished\"\nclass = \"forecast-runs\"\n"
         "within_s = 90.0\nshare = 0.8\n"
         "[[params.objectives]]\nkind = \"wait\"\nclass = \"gate-bids\"\nwithin_s = 4.0\n"
         "share = 0.82\n"
         "[[params.objectives]]\nkind = \"finished\"\nclass = \"gate-bids\"\nwithin_s = 50.0\n"
         "share = 0.9\n"
         "[[params.objectives]]\nkind = \"finished\"\nclass = \"backtests\"\nwithin_s = 180.0\n"
         "share = 0.9\n";
  out << "[params.workers]\nreport_s = " << std::showpoint << site_.report_s
      << "\nlease_s = " << site_.lease_s << "\ngang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = "
      << site_.cancel_s
      << "\n[params.state]\nrps = 150.0\nwrite_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 8\n"
         "[params.cloud]\nrps = 5.0\nlist_lag_s = 3.0\n"
         "[params.machine_limits]\ncore_share = 0.16\nmemory_mb = 264.0\nmax_sockets = 5000\n";
  return out.str();
}

bool Platform::Start() {
  std::ifstream deploy(root_ + "/deploy/service.toml");
  std::string line;
  while (std::getline(deploy, line)) {
    if (!line.starts_with("run = \"")) continue;
    std::istringstream words(line.substr(7, line.rfind('"') - 7));
    std::string word;
    while (words >> word) command_.push_back(word);
  }
  if (command_.empty()) return false;
  char name[] = "/tmp/hallpier-review-XXXXXX";
  if (mkdtemp(name) == nullptr) return false;
  directory_ = name;
  std::string error;
  state_ = std::make_unique<hallpier::testing_support::FakeStateService>(scope_);
  state_address_ = FreeAddress();
  cloud_address_ = FreeAddress();
  cloud_ = std::make_unique<hallpier::net::HttpServer>(
      scope_, hallpier::net::HttpServer::Limits{200, kMaxBytes, 600, 10, 600},
      [this](HttpRequest request) { return HandleCloud(std::move(request)); });
  if (!state_->Listen(state_address_, &error) || !cloud_->Listen(cloud_address_, &error)) {
    Log("cannot listen: " + error);
    return false;
  }
  for (int i = 0; i < site_.nodes; ++i) {
    Node node;
    node.name = "hallnode-" + std::to_string(i);
    node.area = site_.zones[static_cast<size_t>(i) % site_.zones.size()];
    node.listen = FreeAddress();
    node.peer_bind = FreeAddress();
    node.settings_file = directory_ + "/" + node.name + ".toml";
    nodes_.push_back(node);
  }
  for (size_t i = 0; i < nodes_.size(); ++i) {
    std::ofstream(nodes_[i].settings_file) << SettingsText(i);
    StartNode(nodes_[i]);
  }
  // In turn, so that the order of the machines' names says nothing of their zones.
  std::map<std::string, int> left = site_.initial;
  bool any = true;
  while (any) {
    any = false;
    for (const std::string& zone : site_.zones) {
      if (left[zone] <= 0) continue;
      --left[zone];
      any = true;
      AddMachine(zone, false, Now());
    }
  }
  return true;
}

void Platform::StartNode(Node& node) {
  const pid_t parent = getpid();
  const std::string log = directory_ + "/" + node.name + ".log";
  node.pid = fork();
  if (node.pid != 0) {
    Log("start " + node.name);
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(127);
  if (chdir(root_.c_str()) != 0) _exit(127);
  if (std::freopen(log.c_str(), "a", stderr) == nullptr) _exit(127);
  for (int fd = 3; fd < 4096; ++fd) close(fd);
  std::vector<char*> arguments;
  for (std::string& word : command_) arguments.push_back(word.data());
  arguments.push_back(node.settings_file.data());
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(127);
}

void Platform::SignalNode(Node& node, int signal) {
  if (node.pid > 0) kill(node.pid, signal);
}

void Platform::KillNode(Node& node) {
  if (node.pid <= 0) return;
  kill(node.pid, SIGKILL);
  kill(node.pid, SIGCONT);
  waitpid(node.pid, nullptr, 0);
  node.pid = 0;
  Log("kill " + node.name);
}

Task<> Platform::RunScenario(std::function<Task<int>(Platform&)> scenario, int* result) {
  *result = co_await scenario(*this);
  loop_.Stop();
}

int Platform::Run(std::function<Task<int>(Platform&)> scenario, double limit_s) {
  int result = 2;
  if (!Start()) return 2;
  scope_.Spawn(RunScenario(std::move(scenario), &result));
  struct Limit {
    static Task<> Wait(Platform& platform, double seconds) {
      co_await platform.Pause(seconds);
      platform.Log("the time is over");
      platform.loop().Stop();
    }
  };
  scope_.Spawn(Limit::Wait(*this, limit_s));
  loop_.Run();
  for (Node& node : nodes_) {
    if (node.pid > 0 && waitpid(node.pid, nullptr, WNOHANG) == node.pid) {
      Log(node.name + " had ended by itself");
      node.pid = 0;
    }
  }
  if (const char* keep = std::getenv("KEEP_LOGS"); keep != nullptr) {
    for (const Node& node : nodes_) {
      const std::string copy = "cp " + directory_ + "/" + node.name + ".log " + keep;
      if (std::system(copy.c_str()) != 0) Log("log not kept");
    }
  }
  for (Node& node : nodes_) KillNode(node);
  Log("result " + std::to_string(result));
  return result;
}

Task<> Platform::Pause(double seconds) {
  Sleep wait(scope_, seconds);
  co_await wait;
}

Task<Platform::Answer> Platform::Ask(size_t node, std::string method, std::string path,
                                     std::string body, double timeout_s) {
  HttpRequest request;
  request.method = method;
  request.target = path;
  request.body = std::move(body);
  const std::string to = nodes_[node].listen;
  auto response = co_await users_.Call(scope_, to, std::move(request), timeout_s, false);
  Answer answer;
  if (!response) co_return answer;
  answer.status = response->status;
  if (auto object = hallpier::wire::ParseObject(response->body)) {
    answer.phase = hallpier::wire::GetText(*object, "phase").value_or("");
    answer.done = static_cast<int>(hallpier::wire::GetCount(*object, "done").value_or(0));
    answer.running = static_cast<int>(hallpier::wire::GetCount(*object, "running").value_or(0));
  }
  co_return answer;
}

Task<bool> Platform::Submit(JobInfo job) {
  jobs_[job.id] = job;  // users upload the description
  const double until = Now() + 60;
  while (Now() < until) {
    const size_t node = next_node_++ % nodes_.size();
    Answer answer = co_await Ask(node, "POST", "/submissions", job.Body(), kUserTimeoutS);
    Log("submit " + job.id + " pieces " + std::to_string(job.pieces) + " to " + nodes_[node].name +
        ": " + std::to_string(answer.status) + " " + answer.phase);
    if (answer.status == 201 || answer.status == 200) co_return true;
    if (answer.status == 400 || answer.status == 422) co_return false;
    co_await Pause(1);
  }
  co_return false;
}

Task<bool> Platform::Withdraw(std::string id) {
  const double until = Now() + 60;
  while (Now() < until) {
    const size_t node = next_node_++ % nodes_.size();
    Answer answer =
        co_await Ask(node, "POST", "/submissions/" + id + "/withdraw", "", kUserTimeoutS);
    Log("withdraw " + id + " at " + nodes_[node].name + ": " + std::to_string(answer.status) +
        " " + answer.phase);
    if (answer.status == 200) co_return true;
    co_await Pause(1);
  }
  co_return false;
}

Task<Platform::Answer> Platform::Poll(std::string id) {
  const size_t node = next_node_++ % nodes_.size();
  Answer answer = co_await Ask(node, "GET", "/submissions/" + id, "", kPollTimeoutS);
  Log("poll " + id + " at " + nodes_[node].name + ": " + std::to_string(answer.status) + " " +
      answer.phase + " done " + std::to_string(answer.done));
  co_return answer;
}

Task<bool> Platform::AwaitReady() {
  for (int i = 0; i < 100; ++i) {
    size_t ready = 0;
    for (size_t node = 0; node < nodes_.size(); ++node) {
      Answer answer = co_await Ask(node, "GET", "/ready", "", 1);
      ready += answer.status == 200 ? 1 : 0;
    }
    if (ready == nodes_.size()) co_return true;
    co_await Pause(0.1);
  }
  co_return false;
}

int Platform::Running(const std::string& job) const {
  int count = 0;
  for (const auto& [name, worker] : workers_) count += worker->CountRunning(job);
  return count;
}

void Platform::OnBegin(Worker& worker, const std::string& piece, const std::string& job) {
  ++begun;
  for (const auto& [name, other] : workers_) {
    if (other.get() == &worker) continue;
    auto known = other->pieces().find(piece);
    if (known == other->pieces().end() || known->second.phase != "running") continue;
    ++ran_twice;
    Log("RAN TWICE " + piece + " on " + worker.name() + " and " + other->name());
  }
  Log("begin " + piece + " on " + worker.name() + " (" + worker.zone() + ")");
  if (on_begin) on_begin(worker, job, piece);
}

void Platform::OnEnd(Worker& worker, const std::string& piece, const std::string& job,
                     const std::string& cause) {
  if (cause == "done") results_.insert(piece);
  Log("end " + piece + " on " + worker.name() + ": " + cause);
  if (on_end) on_end(worker, job, piece, cause);
}

void Platform::AddMachine(const std::string& zone, bool spot, double up_at) {
  (void)spot;
  char name[32];
  std::snprintf(name, sizeof(name), "vm-%06d", next_machine_++);
  auto worker = std::make_unique<Worker>(*this, name, zone, FreeAddress(), up_at);
  if (!worker->Start()) return;
  Log(std::string("machine ") + name + " in " + zone);
  workers_[name] = std::move(worker);
}

HttpResponse Platform::Rent(const JsonValue& request) {
  const std::string hire = *hallpier::wire::GetText(request, "hire");
  if (auto known = rentals_.find(hire); known != rentals_.end()) return Reply(200, known->second);
  const std::string zone = *hallpier::wire::GetText(request, "hall");
  const int wanted = static_cast<int>(hallpier::wire::GetCount(request, "howMany").value_or(0));
  // Only ordinary machines can be had here.
  const bool spot = hallpier::wire::GetFlag(request, "lendable").value_or(false);
  const int used = static_cast<int>(
      std::count_if(workers_.begin(), workers_.end(),
                    [&](const auto& entry) { return entry.second->zone() == zone; }));
  const int count = spot ? 0 : std::min(wanted, site_.capacity[zone] - used);
  if (count <= 0) return Reply(503, R"({"error":"no capacity"})");
  JsonWriter json;
  json.StartObject();
  json.Field("hosts").StartArray();
  for (int i = 0; i < count; ++i) {
    char name[32];
    std::snprintf(name, sizeof(name), "vm-%06d", next_machine_);
    AddMachine(zone, false, Now() + site_.boot_s);
    json.Text(name);
  }
  json.EndArray();
  json.EndObject();
  rentals_[hire] = json.Take();
  return Reply(200, rentals_[hire]);
}

Task<HttpResponse> Platform::HandleCloud(HttpRequest request) {
  const std::string path(request.path());
  if (path == "/flavors") {
    const Flavor& flavor = site_.flavor;
    JsonWriter json;
    json.StartObject();
    json.Field("flavors").StartArray();
    json.StartObject();
    json.Field("sku").Text(flavor.sku);
    json.Field("vcpus").Double(flavor.cpus);
    json.Field("cards").Double(0);
    json.Field("memGb").Double(flavor.memory_gb);
    json.Field("localGb").Double(60);
    json.Field("fetchGbPerS").Double(flavor.fetch_gb_per_s);
    json.Field("rate").Double(0.19);
    json.Field("marketPrice").Double(0.05);
    json.Field("readyS").Double(flavor.boot_s);
    json.Field("halls").StartArray();
    for (const std::string& zone : site_.zones) json.Text(zone);
    json.EndArray();
    json.EndObject();
    json.EndArray();
    json.EndObject();
    co_return Reply(200, json.Take());
  }
  if (path == "/rentals" && request.method == "GET") {
    JsonWriter json;
    json.StartObject();
    json.Field("hosts").StartArray();
    for (const auto& [name, worker] : workers_) {
      json.StartObject();
      json.Field("id").Text(name);
      json.Field("endpoint").Text(worker->endpoint());
      json.Field("flavor").Text(site_.flavor.sku);
      json.Field("hall").Text(worker->zone());
      json.Field("lendable").Bool(false);
      json.Field("phase").Text(worker->up() ? "running" : "starting");
      json.Field("heldS").Double(Now() - worker->rented_at());
      json.EndObject();
    }
    json.EndArray();
    json.Field("truncated").Bool(false);
    json.EndObject();
    co_return Reply(200, json.Take());
  }
  auto body = hallpier::wire::ParseObject(request.body);
  if (!body) co_return Reply(400, "{}");
  if (path == "/rentals") co_return Rent(*body);
  for (const auto& host : (*body)["hosts"].GetArray()) {
    auto known = workers_.find(host.GetString());
    if (known == workers_.end()) continue;
    Log(std::string("returned ") + host.GetString());
    known->second->End();
    gone_.push_back(std::move(known->second));
    workers_.erase(known);
  }
  co_return Reply(200, "{}");
}

}  // namespace review
