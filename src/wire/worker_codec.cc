#include "wire/worker_codec.h"

#include "model/task.h"
#include "wire/enum_names.h"
#include "wire/json.h"
#include "wire/limits.h"

namespace hallpier::wire {
namespace {

constexpr EnumNames<model::TaskPhase, 4> kTaskJobPhases = {
    {{model::TaskPhase::kFetching, "pulling"},
     {model::TaskPhase::kRunning, "running"},
     {model::TaskPhase::kSaving, "flushing"},
     {model::TaskPhase::kExited, "ended"}}};
constexpr EnumNames<model::ExitCause, 6> kCauses = {{{model::ExitCause::kDone, "done"},
                                                     {model::ExitCause::kStopped, "stopped"},
                                                     {model::ExitCause::kError, "error"},
                                                     {model::ExitCause::kNoRoom, "no_room"},
                                                     {model::ExitCause::kBusy, "busy"},
                                                     {model::ExitCause::kUnknown, "unknown"}}};
constexpr EnumNames<model::CommandKind, 3> kCommandKinds = {
    {{model::CommandKind::kRun, "run"},
     {model::CommandKind::kStop, "stop"},
     {model::CommandKind::kForget, "forget"}}};

std::optional<model::TaskStatus> ReadTaskStatus(const JsonValue& v) {
  auto name = GetText(v, "piece");
  auto attempt = GetCount(v, "try");
  auto state = GetEnum(kTaskJobPhases, v, "phase");
  if (!name || !attempt || !state) return std::nullopt;
  auto task = model::ParseTaskName(*name);
  if (!task) return std::nullopt;
  model::TaskStatus p;
  p.task = std::move(*task);
  p.attempt = *attempt;
  p.state = *state;
  p.cause = GetEnum(kCauses, v, "cause").value_or(model::ExitCause::kNone);
  p.saved = GetFlag(v, "stored").value_or(false);
  return p;
}

void WriteWorkerCommands(JsonWriter& w, const std::vector<model::WorkerCommand>& commands) {
  w.Field("orders").StartArray();
  for (const model::WorkerCommand& o : commands) {
    w.StartObject();
    w.Field("verb").Text(NameOf(kCommandKinds, o.kind));
    w.Field("piece").Text(model::TaskName(o.task));
    w.Field("try").Uint64(o.attempt);
    if (o.kind == model::CommandKind::kStop) w.Field("windDownS").Double(o.grace_s);
    w.EndObject();
  }
  w.EndArray();
}

}  // namespace

std::optional<model::Heartbeat> ReadHeartbeat(std::string_view body) {
  auto d = ParseObject(body);
  if (!d) return std::nullopt;
  auto machine = GetText(*d, "host");
  auto endpoint = GetText(*d, "endpoint");
  auto machine_type = GetText(*d, "flavor");
  auto zone = GetText(*d, "hall");
  auto agent_epoch = GetCount(*d, "tenure");
  auto sequence = GetCount(*d, "tick");
  if (!machine || machine->empty() || machine->size() > kMaxText || !endpoint || !machine_type ||
      !zone || !agent_epoch || !sequence) {
    return std::nullopt;
  }
  model::Heartbeat r;
  r.machine = std::move(*machine);
  r.endpoint = std::move(*endpoint);
  r.machine_type = std::move(*machine_type);
  r.zone = std::move(*zone);
  r.spot = GetFlag(*d, "lendable").value_or(false);
  r.agent_epoch = model::AgentEpoch(*agent_epoch);
  r.sequence = *sequence;
  r.token = model::FencingToken(GetCount(*d, "epoch").value_or(0));
  r.spot_notice_s = GetAmount(*d, "reclaimS");
  if (const JsonValue* tasks = Find(*d, "pieces")) {
    if (!tasks->IsArray()) return std::nullopt;
    for (const auto& v : tasks->GetArray()) {
      // A list with a hole in it would prove the absence of what it fails to name.
      auto p = ReadTaskStatus(v);
      if (!p) return std::nullopt;
      r.tasks.push_back(std::move(*p));
    }
  }
  return r;
}

std::string WriteHeartbeatResponse(model::FencingToken token,
                                   const std::vector<model::WorkerCommand>& commands) {
  JsonWriter w;
  w.StartObject();
  w.Field("epoch").Uint64(token.value());
  WriteWorkerCommands(w, commands);
  w.EndObject();
  return w.Take();
}

std::string WriteCommands(model::FencingToken token, model::AgentEpoch agent_epoch,
                          const std::vector<model::WorkerCommand>& commands) {
  JsonWriter w;
  w.StartObject();
  w.Field("epoch").Uint64(token.value());
  w.Field("tenure").Uint64(agent_epoch.value());
  WriteWorkerCommands(w, commands);
  w.EndObject();
  return w.Take();
}

std::string WriteRedirect(std::string_view leader) {
  JsonWriter w;
  w.StartObject();
  if (!leader.empty()) w.Field("foreman").Text(leader);
  w.EndObject();
  return w.Take();
}

}  // namespace hallpier::wire
