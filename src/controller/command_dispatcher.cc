#include "controller/command_dispatcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <functional>
#include <optional>

#include "fleet/reconciliation.h"
#include "wire/worker_codec.h"

namespace hallpier::controller {
namespace {

// Timeout of a direct command as a fraction of the heartbeat interval: after that, the response to
// the next heartbeat delivers the commands sooner.
constexpr double kCommandTimeoutRatio = 0.9;
// Fraction of this machine's sockets for direct commands, including idle connections.
constexpr double kCommandSocketShare = 0.08;
// A worker's report lists the tasks on its machine, so its size does not grow with the fleet.
constexpr size_t kMaxWorkerBodyBytes = size_t{256} * 1024;
constexpr int kOk = 200;
constexpr int kConflict = 409;

size_t MaxActiveMachines(const config::Settings& settings) {
  return std::max<size_t>(1, static_cast<size_t>(kCommandSocketShare * settings.max_sockets));
}

}  // namespace

CommandDispatcher::CommandDispatcher(const NodeServices& services, fleet::WorkerRegistry& registry,
                                     CommandSource& command_source, RoundTrigger& trigger)
    : services_(services),
      registry_(registry),
      command_source_(command_source),
      trigger_(trigger),
      max_active_machines_(MaxActiveMachines(*services.settings)),
      queue_(max_active_machines_),
      worker_client_(1, kMaxWorkerBodyBytes, max_active_machines_) {}

void CommandDispatcher::BeginTerm(async::Scope& term) {
  term_ = &term;
  queue_.Clear();
}

void CommandDispatcher::Send(const std::string& machine) {
  if (queue_.Request(machine)) term_->Spawn(SendUntilDone(machine));
}

async::Task<> CommandDispatcher::SendUntilDone(std::string machine) {
  async::Scope& term = *term_;
  bool sent = true;
  do {
    queue_.OnCommandsCollected(machine);
    sent = co_await SendOnce(machine);
  } while (sent && !term.cancelled() && queue_.NeedsRepeat(machine));
  queue_.Finish(machine);
  while (!term.cancelled()) {
    const std::optional<std::string> next = queue_.StartNext();
    if (!next) break;
    term.Spawn(SendUntilDone(*next));
  }
}

bool CommandDispatcher::IsReachable(const fleet::Machine* machine) {
  // A worker that did not answer the last direct command gets the next one in the response to its
  // heartbeat: unresponsive machines would otherwise occupy connections that others wait for.
  return machine != nullptr && !machine->endpoint.empty() && machine->has_reported() &&
         !machine->agent.unreachable;
}

async::Task<bool> CommandDispatcher::SendOnce(std::string machine) {
  async::Scope& term = *term_;
  fleet::Machine* worker = registry_.Find(machine);
  if (!IsReachable(worker) || !services_.election->MayAct()) co_return false;
  if (command_source_.ShouldAwaitStartPermission(*worker)) {
    co_await command_source_.AwaitStartPermission(term, machine);
    worker = registry_.Find(machine);
    if (term.cancelled() || !IsReachable(worker) || !services_.election->MayAct()) co_return false;
  }
  // Starts that the commands for cancelled tasks could not wait for.
  const bool starts_remain = command_source_.OmitsStarts(*worker);
  auto commands = command_source_.CommandsFor(*worker, true);
  const model::FencingToken token = registry_.CommandToken(*worker);
  // There are no commands if a heartbeat has fetched them in the meantime or if they have to wait
  // until the watch cache is current. With a current cache, a worker that does not know our token
  // yet is sent the token even without commands.
  if (commands.empty() && (registry_.HasSeenToken(*worker) || !command_source_.CacheIsCurrent()))
    co_return false;
  wire::HttpRequest request{
      .method = "POST",
      .target = "/commands",
      .body = wire::WriteDirectCommands(token, worker->agent.epoch, commands)};
  // The connection may take a while. Until it is established, a task may be cancelled, or another
  // node may acknowledge a cancellation that this node does not know.
  bool withheld = false;
  std::function<bool()> may_send = [&] {
    withheld = !command_source_.MayStillSend(commands);
    return !withheld;
  };
  auto response = co_await worker_client_.Call(term, worker->endpoint, std::move(request),
                                               TimeoutS(), false, may_send);
  const bool answered = response && (response->status == kOk || response->status == kConflict);
  if (answered) OnStatusReport(response->body);
  fleet::OnDirectCommandFinished(registry_, machine, commands, token, answered || withheld);
  if (withheld || (answered && starts_remain) || WasOvertaken(response, machine, token))
    queue_.Request(machine);
  co_return true;
}

bool CommandDispatcher::WasOvertaken(const std::optional<wire::HttpResponse>& response,
                                     const std::string& machine, model::FencingToken token) const {
  if (!response || response->status != kConflict) return false;
  const fleet::Machine* worker = registry_.Find(machine);
  if (worker == nullptr || worker->agent.token <= token || registry_.IsCommandedByOther(*worker)) {
    return false;
  }
  spdlog::debug("command: rejected machine={} token={} reason=response overtook it", machine,
                token.value());
  return true;
}

double CommandDispatcher::TimeoutS() const {
  return kCommandTimeoutRatio * services_.settings->heartbeat_interval_s;
}

void CommandDispatcher::OnStatusReport(const std::string& body) {
  auto report = wire::ReadHeartbeat(body);
  if (!report) return;
  if (report->token > registry_.highest_token()) services_.election->OnTokenSeen(report->token);
  if (registry_.OnHeartbeat(*report, term_->loop().Now(), true)) trigger_.Request();
}

}  // namespace hallpier::controller
