#include "wire/worker_codec.h"

#include "model/task.h"
#include "wire/enum_names.h"
#include "wire/json.h"
#include "wire/limits.h"

namespace hallpier::wire {
namespace {

constexpr EnumNames<model::TaskPhase, 4> kTaskPhases = {
    {{model::TaskPhase::kFetching, "pulling"},
     {model::TaskPhase::kRunning, "running"},
     {model::TaskPhase::kCheckpointing, "flushing"},
     {model::TaskPhase::kExited, "ended"}}};
constexpr EnumNames<model::ExitCause, 6> kExitCauses = {{{model::ExitCause::kDone, "done"},
                                                         {model::ExitCause::kStopped, "stopped"},
                                                         {model::ExitCause::kError, "error"},
                                                         {model::ExitCause::kNoRoom, "no_room"},
                                                         {model::ExitCause::kBusy, "busy"},
                                                         {model::ExitCause::kUnknown, "unknown"}}};
constexpr EnumNames<model::CommandKind, 3> kCommandKinds = {
    {{model::CommandKind::kRun, "run"},
     {model::CommandKind::kStop, "stop"},
     {model::CommandKind::kForget, "forget"}}};

std::optional<model::TaskStatus> ReadTaskStatus(const JsonValue& object) {
  auto name = GetText(object, "piece");
  auto attempt = GetCount(object, "try");
  auto phase = GetEnum(kTaskPhases, object, "phase");
  if (!name || !attempt || !phase) return std::nullopt;
  auto task = model::ParseTaskName(*name);
  if (!task) return std::nullopt;
  model::TaskStatus status;
  status.task = std::move(*task);
  status.attempt = *attempt;
  status.phase = *phase;
  status.cause = GetEnum(kExitCauses, object, "cause").value_or(model::ExitCause::kNone);
  status.checkpoint_saved = GetFlag(object, "stored").value_or(false);
  return status;
}

// Returns an empty list if `list` is null, and std::nullopt if any entry is unreadable: leaving the
// task out would count as proof that the machine does not run it.
std::optional<std::vector<model::TaskStatus>> ReadTaskStatuses(const JsonValue* list) {
  std::vector<model::TaskStatus> tasks;
  if (list == nullptr) return tasks;
  if (!list->IsArray()) return std::nullopt;
  for (const JsonValue& entry : list->GetArray()) {
    auto task = ReadTaskStatus(entry);
    if (!task) return std::nullopt;
    tasks.push_back(std::move(*task));
  }
  return tasks;
}

void WriteWorkerCommands(JsonWriter& writer, const std::vector<model::WorkerCommand>& commands) {
  writer.Field("orders").StartArray();
  for (const model::WorkerCommand& command : commands) {
    writer.StartObject();
    writer.Field("verb").Text(NameOf(kCommandKinds, command.kind));
    writer.Field("piece").Text(model::TaskName(command.task));
    writer.Field("try").Uint64(command.attempt);
    if (command.kind == model::CommandKind::kStop)
      writer.Field("windDownS").Double(command.grace_s);
    writer.EndObject();
  }
  writer.EndArray();
}

}  // namespace

std::optional<model::Heartbeat> ReadHeartbeat(std::string_view body) {
  auto document = ParseObject(body);
  if (!document) return std::nullopt;
  auto machine = GetText(*document, "host");
  auto endpoint = GetText(*document, "endpoint");
  auto machine_type = GetText(*document, "flavor");
  auto zone = GetText(*document, "hall");
  auto agent_epoch = GetCount(*document, "tenure");
  auto sequence = GetCount(*document, "tick");
  if (!machine || machine->empty() || machine->size() > kMaxNameBytes) return std::nullopt;
  if (!endpoint || !machine_type || !zone || !agent_epoch || !sequence) return std::nullopt;
  auto tasks = ReadTaskStatuses(Find(*document, "pieces"));
  if (!tasks) return std::nullopt;
  model::Heartbeat heartbeat;
  heartbeat.machine = std::move(*machine);
  heartbeat.endpoint = std::move(*endpoint);
  heartbeat.machine_type = std::move(*machine_type);
  heartbeat.zone = std::move(*zone);
  heartbeat.spot = GetFlag(*document, "lendable").value_or(false);
  heartbeat.agent_epoch = model::AgentEpoch(*agent_epoch);
  heartbeat.sequence = *sequence;
  heartbeat.token = model::FencingToken(GetCount(*document, "epoch").value_or(0));
  heartbeat.spot_notice_s = GetAmount(*document, "reclaimS");
  heartbeat.tasks = std::move(*tasks);
  return heartbeat;
}

std::string WriteHeartbeatResponse(model::FencingToken token,
                                   const std::vector<model::WorkerCommand>& commands) {
  JsonWriter writer;
  writer.StartObject();
  writer.Field("epoch").Uint64(token.value());
  WriteWorkerCommands(writer, commands);
  writer.EndObject();
  return writer.Take();
}

std::string WriteDirectCommands(model::FencingToken token, model::AgentEpoch agent_epoch,
                                const std::vector<model::WorkerCommand>& commands) {
  JsonWriter writer;
  writer.StartObject();
  writer.Field("epoch").Uint64(token.value());
  writer.Field("tenure").Uint64(agent_epoch.value());
  WriteWorkerCommands(writer, commands);
  writer.EndObject();
  return writer.Take();
}

std::string WriteRedirect(std::string_view leader) {
  JsonWriter writer;
  writer.StartObject();
  if (!leader.empty()) writer.Field("foreman").Text(leader);
  writer.EndObject();
  return writer.Take();
}

}  // namespace hallpier::wire
