#include "controller/heartbeat_handler.h"

#include "wire/user_codec.h"
#include "wire/worker_codec.h"

namespace hallpier::controller {
namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

}  // namespace

async::Task<wire::HttpResponse> HeartbeatHandler::OnHeartbeat(model::Heartbeat report) {
  if (report.token > registry_.highest_token()) {
    services_.election->OnTokenSeen(report.token);
    co_return wire::HttpResponse{.status = kMisdirected, .body = wire::WriteRedirect("")};
  }
  if (registry_.OnHeartbeat(report, services_.scope->loop().Now(), false)) trigger_.Request();
  fleet::Machine* machine = registry_.Find(report.machine);
  if (machine->IsNewestStatus(report) && command_source_.ShouldAwaitStartPermission(*machine)) {
    const model::FencingToken term_token = registry_.token();
    co_await command_source_.AwaitStartPermission(*services_.scope, report.machine);
    machine = registry_.Find(report.machine);
    if (machine == nullptr || registry_.token() != term_token || !services_.election->MayAct()) {
      co_return wire::HttpResponse{.status = kUnavailable,
                                   .body = wire::WriteError("not entitled to act")};
    }
  }
  const double now = services_.scope->loop().Now();
  std::vector<model::WorkerCommand> commands;
  // A heartbeat that arrives after a newer one gets a response without commands.
  const bool is_newest = machine->IsNewestStatus(report);
  if (is_newest) commands = command_source_.CommandsFor(*machine, false);
  // Recorded before the response is sent: from now on the worker may consider its lease renewed.
  registry_.OnResponseSent(report, commands, now);
  const model::FencingToken token = registry_.CommandToken(*machine);
  co_return wire::HttpResponse{.status = kOk,
                               .body = wire::WriteHeartbeatResponse(token, commands)};
}

}  // namespace hallpier::controller
