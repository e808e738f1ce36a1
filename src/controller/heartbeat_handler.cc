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
  // A heartbeat that was overtaken by a newer one is answered without commands.
  const bool newest = machine->IsNewestStatus(report);
  if (newest) commands = commands_.CommandsFor(*machine, false);
  // Noted before the answer goes out: the worker may count its lease as renewed from here on.
  registry_.OnResponseSent(report, commands, now);
  return {.status = kOk, .body = wire::WriteHeartbeatResponse(registry_.token(), commands)};
}

}  // namespace hallpier::controller
