#include "controller/heartbeat_handler.h"

#include "wire/worker_codec.h"

namespace hallpier::controller {
namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;

}  // namespace

wire::HttpResponse HeartbeatHandler::OnHeartbeat(const model::Heartbeat& report) {
  if (report.token > registry_.token()) {
    services_.election->OnTokenSeen(report.token);
    return {.status = kMisdirected, .body = wire::WriteRedirect("")};
  }
  const double now = services_.scope->loop().Now();
  if (registry_.OnHeartbeat(report, now, false)) trigger_.Request();
  fleet::Machine* machine = registry_.Find(report.machine);
  std::vector<model::WorkerCommand> commands;
  // A heartbeat that arrives after a newer one gets a response without commands.
  const bool is_newest = machine->IsNewestStatus(report);
  if (is_newest) commands = command_source_.CommandsFor(*machine, false);
  // Recorded before the response is sent: from now on the worker may consider its lease renewed.
  registry_.OnResponseSent(report, commands, now);
  return {.status = kOk, .body = wire::WriteHeartbeatResponse(registry_.token(), commands)};
}

}  // namespace hallpier::controller
