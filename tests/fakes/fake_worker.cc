#include "fakes/fake_worker.h"

#include <utility>

#include "fakes/http_support.h"

namespace hallpier::testing_support {
namespace {

constexpr size_t kMaxResponseBytes = size_t{256} * 1024;
// Number of checks of the lease and of finished tasks, and of retries of a failed heartbeat, in
// each heartbeat interval.
constexpr double kTicksPerHeartbeat = 20;
constexpr double kRetriesPerHeartbeat = 3;
constexpr double kMaxTimeoutS = 4;

bool HasStart(const std::string& body) { return body.find("\"run\"") != std::string::npos; }

}  // namespace

FakeWorker::FakeWorker(async::Scope& scope, Options options, model::CloudMachine listed,
                       OnStart on_start)
    : options_(std::move(options)),
      listed_(std::move(listed)),
      on_start_(std::move(on_start)),
      scope_(scope.loop(), &scope),
      server_(scope_, kFakeServerLimits,
              [this](wire::HttpRequest request) { return Handle(std::move(request)); }),
      client_(1, kMaxResponseBytes) {}

bool FakeWorker::Start() {
  std::string error;
  if (!server_.Listen(listed_.endpoint, &error)) return false;
  scope_.Spawn(HeartbeatLoop());
  return true;
}

void FakeWorker::End() {
  scope_.Cancel();
  tasks_.clear();
}

bool FakeWorker::Runs(const model::TaskId& task) const {
  auto it = tasks_.find(task);
  return it != tasks_.end() && it->second.phase == model::TaskPhase::kRunning;
}

std::string FakeWorker::WriteHeartbeat() {
  wire::JsonWriter writer;
  writer.StartObject();
  writer.Field("host").Text(listed_.machine);
  writer.Field("endpoint").Text(listed_.endpoint);
  writer.Field("flavor").Text(listed_.machine_type);
  writer.Field("hall").Text(listed_.zone);
  writer.Field("lendable").Bool(listed_.spot);
  writer.Field("tenure").Uint64(agent_epoch_);
  writer.Field("tick").Uint64(++sequence_);
  writer.Field("epoch").Uint64(token_);
  writer.Field("pieces").StartArray();
  for (const auto& [task, running] : tasks_) {
    const bool exited = running.phase == model::TaskPhase::kExited;
    writer.StartObject();
    writer.Field("piece").Text(model::TaskName(task));
    writer.Field("try").Uint64(running.attempt);
    writer.Field("phase").Text(exited ? "ended" : "running");
    if (!running.cause.empty()) writer.Field("cause").Text(running.cause);
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return writer.Take();
}

void FakeWorker::StartTask(const model::TaskId& task, uint64_t attempt) {
  on_start_(*this, task);
  RunningTask running;
  running.attempt = attempt;
  running.ends_at = scope_.loop().Now() + options_.run_s;
  if (attempt == 1 && task.index < options_.failing_tasks) {
    running.phase = model::TaskPhase::kExited;
    running.cause = "error";
  }
  tasks_[task] = running;
}

void FakeWorker::Execute(const wire::JsonValue& commands) {
  for (const auto& command : commands.GetArray()) {
    const std::string kind = *wire::GetText(command, "verb");
    auto task = model::ParseTaskName(*wire::GetText(command, "piece"));
    const uint64_t attempt = *wire::GetCount(command, "try");
    auto it = tasks_.find(*task);
    const bool same = it != tasks_.end() && it->second.attempt == attempt;
    const bool busy = it != tasks_.end() && it->second.phase == model::TaskPhase::kRunning;
    if (kind == "run" && !same && !busy) {
      StartTask(*task, attempt);
    } else if (kind == "stop" && same && it->second.phase == model::TaskPhase::kRunning) {
      it->second.phase = model::TaskPhase::kExited;
      it->second.cause = "stopped";
    } else if (kind == "forget" && same && it->second.phase == model::TaskPhase::kExited) {
      tasks_.erase(it);
    }
  }
}

bool FakeWorker::FinishDueTasks() {
  bool changed = false;
  for (auto& [task, running] : tasks_) {
    const bool is_running = running.phase == model::TaskPhase::kRunning;
    if (!is_running || scope_.loop().Now() < running.ends_at) continue;
    running.phase = model::TaskPhase::kExited;
    running.cause = "done";
    changed = true;
  }
  return changed;
}

void FakeWorker::ExpireLease(double now) {
  if (now - lease_renewed_at_ > options_.lease_s) RestartAgent();
}

void FakeWorker::RestartAgent() {
  tasks_.clear();
  ++agent_epoch_;
  lease_renewed_at_ = scope_.loop().Now();
}

async::Task<> FakeWorker::HeartbeatLoop() {
  lease_renewed_at_ = scope_.loop().Now();
  while (!scope_.cancelled()) {
    async::Sleep pause(scope_, options_.heartbeat_interval_s / kTicksPerHeartbeat);
    co_await pause;
    const double now = scope_.loop().Now();
    ExpireLease(now);
    if (cut_) continue;
    if (!FinishDueTasks() && now < next_heartbeat_at_) continue;
    next_heartbeat_at_ = now + options_.heartbeat_interval_s;
    co_await SendHeartbeat(now);
  }
}

async::Task<> FakeWorker::SendHeartbeat(double now) {
  const uint64_t agent_epoch = agent_epoch_;
  wire::HttpRequest request{.method = "POST", .target = "/checkin", .body = WriteHeartbeat()};
  auto response =
      co_await client_.Call(scope_, options_.controllers[controller_], std::move(request),
                            std::min(kMaxTimeoutS, options_.heartbeat_interval_s), false);
  if (scope_.cancelled()) co_return;
  auto answer = response ? wire::ParseObject(response->body) : std::nullopt;
  if (response && response->status == 200 && answer) {
    const uint64_t token = wire::GetCount(*answer, "epoch").value_or(0);
    if (token < token_ || agent_epoch != agent_epoch_) co_return;
    token_ = token;
    lease_renewed_at_ = now;
    Execute((*answer)["orders"]);
    co_return;
  }
  auto leader = answer ? wire::GetText(*answer, "foreman") : std::nullopt;
  controller_ = NextController(leader.value_or(""));
  next_heartbeat_at_ = now + options_.heartbeat_interval_s / kRetriesPerHeartbeat;
}

size_t FakeWorker::NextController(const std::string& leader) const {
  auto it = std::find(options_.nodes.begin(), options_.nodes.end(), leader);
  if (it != options_.nodes.end()) return static_cast<size_t>(it - options_.nodes.begin());
  return (controller_ + 1) % options_.controllers.size();
}

async::Task<wire::HttpResponse> FakeWorker::Handle(wire::HttpRequest request) {
  if (cut_) {
    ++refused_commands_;
    co_return Answer(503, "{}");
  }
  if (request.path() == "/show") co_return Answer(200, WriteHeartbeat());
  wire::HttpResponse response = ExecuteDirectCommand(request.body);
  const bool executed_start = response.status == kOk && HasStart(request.body);
  if (executed_start) {
    for (double delay_s : options_.command_copy_delays_s) {
      scope_.Spawn(DeliverCopy(request.body, delay_s));
    }
  }
  co_return response;
}

wire::HttpResponse FakeWorker::ExecuteDirectCommand(const std::string& body) {
  auto command = wire::ParseObject(body);
  auto token = command ? wire::GetCount(*command, "epoch") : std::nullopt;
  auto agent_epoch = command ? wire::GetCount(*command, "tenure") : std::nullopt;
  if (!token || !agent_epoch) return Answer(400, "{}");
  if (*token < token_ || *agent_epoch != agent_epoch_) return Answer(409, WriteHeartbeat());
  token_ = *token;
  Execute((*command)["orders"]);
  return Answer(200, WriteHeartbeat());
}

async::Task<> FakeWorker::DeliverCopy(std::string body, double delay_s) {
  async::Sleep pause(scope_, delay_s);
  co_await pause;
  if (!scope_.cancelled() && !cut_) ExecuteDirectCommand(body);
}

}  // namespace hallpier::testing_support
