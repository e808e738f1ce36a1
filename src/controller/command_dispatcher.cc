#include "controller/command_dispatcher.h"

#include <algorithm>
#include <optional>

#include "fleet/reconciliation.h"
#include "wire/worker_codec.h"

namespace hallpier::controller {
namespace {

// A direct command is given up after this part of a heartbeat interval: the answer to the next
// heartbeat is better.
constexpr double kCommandTimeoutRatio = 0.9;
// Connections for direct commands, in use and kept, as a part of this machine's sockets.
constexpr double kCommandSockets = 0.08;
// A worker's report lists what its machine runs, which does not grow with the fleet.
constexpr size_t kMaxWorkerBody = size_t{256} * 1024;
constexpr int kOk = 200;
constexpr int kConflict = 409;

size_t MaxActive(const config::Settings& settings) {
  return std::max<size_t>(1, static_cast<size_t>(kCommandSockets * settings.max_sockets));
}

}  // namespace

CommandDispatcher::CommandDispatcher(const NodeServices& services, fleet::WorkerRegistry& registry,
                                     CommandSource& commands, RoundTrigger& trigger)
    : services_(services),
      registry_(registry),
      commands_(commands),
      trigger_(trigger),
      max_active_(MaxActive(*services.settings)),
      queue_(max_active_),
      workers_(1, kMaxWorkerBody, max_active_) {}

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

bool CommandDispatcher::Reachable(const fleet::Machine* machine) {
  // A worker that did not answer the last direct command gets the next one in the answer to its
  // heartbeat: machines that hang would otherwise occupy the connections that others wait for.
  return machine != nullptr && !machine->endpoint.empty() && machine->has_reported() &&
         !machine->agent.unreachable;
}

async::Task<bool> CommandDispatcher::SendOnce(std::string machine) {
  async::Scope& term = *term_;
  fleet::Machine* worker = registry_.Find(machine);
  if (!Reachable(worker) || !services_.election->MayAct()) co_return false;
  const model::FencingToken token = registry_.token();
  auto commands = commands_.CommandsFor(*worker, true);
  // Its heartbeat has fetched them meanwhile, or they have to wait for the copy. A worker that does
  // not know our token yet is sent it all the same.
  if (commands.empty() && (worker->agent.token == token || !commands_.CopyIsCurrent()))
    co_return false;
  wire::HttpRequest request{.method = "POST",
                            .target = "/commands",
                            .body = wire::WriteCommands(token, worker->agent.epoch, commands)};
  auto response = co_await workers_.Call(
      term, worker->endpoint, std::move(request),
      kCommandTimeoutRatio * services_.settings->heartbeat_interval_s, false);
  const bool answered = response && (response->status == kOk || response->status == kConflict);
  if (answered) OnAnswer(response->body, token);
  fleet::OnDirectCommandFinished(registry_, machine, commands, token, answered);
  co_return true;
}

void CommandDispatcher::OnAnswer(const std::string& body, model::FencingToken token) {
  auto report = wire::ReadHeartbeat(body);
  if (!report) return;
  if (report->token > token) services_.election->OnTokenSeen(report->token);
  if (registry_.OnHeartbeat(*report, term_->loop().Now(), true)) trigger_.Request();
}

}  // namespace hallpier::controller
