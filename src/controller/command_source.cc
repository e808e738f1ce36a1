#include "controller/command_source.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <functional>

#include "controller/start_permission.h"
#include "fleet/reconciliation.h"
#include "model/task.h"

namespace hallpier::controller {
namespace {

// Longest time that commands wait for the permission to start tasks, which is about two reads of
// the state service. Workers wait 4 s for a response.
constexpr double kMaxPermissionWaitS = 1.5;

const char* NameOf(model::CommandKind kind) {
  switch (kind) {
    case model::CommandKind::kRun:
      return "start";
    case model::CommandKind::kStop:
      return "stop";
    case model::CommandKind::kForget:
      return "forget";
  }
  return "unknown";
}

void LogCommands(const fleet::Machine& machine, model::FencingToken token, bool direct,
                 const std::vector<model::WorkerCommand>& commands) {
  for (const model::WorkerCommand& command : commands) {
    spdlog::debug(
        "command: {} task={} attempt={} machine={} token={} epoch={} sequence={} route={}",
        NameOf(command.kind), model::TaskName(command.task), command.attempt, machine.name,
        token.value(), machine.agent.epoch.value(), machine.agent.sequence,
        direct ? "direct" : "heartbeat");
  }
}

}  // namespace

void CommandSource::BeginTerm() { term_revision_ = services_.election->token().value(); }

bool CommandSource::CacheIsCurrent() const {
  return services_.cache->revision() >= term_revision_ &&
         services_.cache->current_as_of() >= services_.scope->loop().resumed_at();
}

bool CommandSource::OmitsStarts(const fleet::Machine& machine) const {
  return CacheIsCurrent() &&
         fleet::OmitsStarts(registry_, machine, *services_.job_table, [this](const auto& job) {
           return services_.start_permission->MayStart(job);
         });
}

bool CommandSource::ShouldAwaitStartPermission(const fleet::Machine& machine) const {
  return OmitsStarts(machine) && fleet::CancellationCommands(machine, *services_.job_table).empty();
}

async::Task<> CommandSource::AwaitStartPermission(async::Scope& scope, std::string machine) {
  std::function<bool()> has_permission = [this, machine] {
    const fleet::Machine* found = registry_.Find(machine);
    return found == nullptr || !OmitsStarts(*found);
  };
  const bool permitted =
      co_await services_.start_permission->Await(scope, has_permission, kMaxPermissionWaitS);
  if (!permitted && !scope.cancelled()) {
    spdlog::info("reconcile: starts withheld machine={} reason=cancellations may be unknown",
                 machine);
  }
}

bool CommandSource::MayStillSend(const std::vector<model::WorkerCommand>& commands) const {
  return std::all_of(commands.begin(), commands.end(), [this](const model::WorkerCommand& command) {
    if (command.kind != model::CommandKind::kRun) return true;
    const jobs::Job* job = services_.job_table->Find(command.task.job);
    return job != nullptr && !job->cancelled &&
           services_.start_permission->MayStart(command.task.job);
  });
}

std::vector<model::WorkerCommand> CommandSource::CommandsFor(fleet::Machine& machine, bool direct) {
  // After a pause during an outage, leases are renewed based on the reports of the other nodes
  // while the watch cache can't be confirmed. A cancellation from these reports must still be
  // carried out; it is valid whatever else has been recorded.
  std::vector<model::WorkerCommand> commands =
      CacheIsCurrent() ? fleet::Reconcile(registry_, machine, *services_.job_table, direct,
                                          [this](const auto& job) {
                                            return services_.start_permission->MayStart(job);
                                          })
                       : fleet::CancellationCommands(machine, *services_.job_table);
  LogCommands(machine, registry_.CommandToken(machine), direct, commands);
  return commands;
}

}  // namespace hallpier::controller
