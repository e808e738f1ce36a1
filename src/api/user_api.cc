#include "api/user_api.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <unordered_set>

#include "model/key_value.h"
#include "wire/json.h"

namespace hallpier::api {
namespace {

// Final states remembered, per megabyte of this machine: a few hundred bytes each.
constexpr double kFinalsPerMb = 50;
constexpr int kRetryS = 1;
constexpr int kCasTries = 4;
// Records read for one question about a job that awaits others, at the most.
constexpr int kMostReads = 8;

wire::HttpResponse Answer(int status, std::string body) {
  return {.status = status, .body = std::move(body)};
}

wire::HttpResponse NotNow(std::string_view why) {
  return {.status = 503, .body = wire::WriteError(why), .retry_after_s = kRetryS};
}

}  // namespace

UserApi::Found UserApi::FromMemory(const std::string& id) const {
  Found out;
  if (auto it = final_records_.find(id); it != final_records_.end()) {
    out.kind = Found::Kind::kFinal;
    out.final_record = it->second;
  }
  return out;
}

void UserApi::Remember(const std::string& id, const store::FinalRecord& r) {
  if (!final_records_.emplace(id, r).second) return;
  finals_order_.push_back(id);
  if (static_cast<double>(finals_order_.size()) > kFinalsPerMb * deps_.settings->memory_mb) {
    final_records_.erase(finals_order_.front());
    finals_order_.pop_front();
  }
}

async::Task<UserApi::Found> UserApi::Lookup(std::string id) {
  Found out = FromMemory(id);
  if (out.kind == Found::Kind::kFinal) co_return out;
  // In this order: a job moves from active to final, never back.
  auto active = co_await deps_.client->Get(store::JobKey(id));
  if (active.ok()) {
    auto job = store::ReadJob(active.value.value);
    if (!job) co_return out;
    out.kind = Found::Kind::kActive;
    out.job = std::move(*job);
    out.version = active.value.version;
    // What this node tells it must be able to hand over: a cancellation that was read here is told
    // here, and the node that recorded it may be gone.
    deps_.cache->ApplyAheadOfWatch(active.value.key, active.value.value, active.value.version);
    co_return out;
  }
  if (active.status != store::Status::kNotFound) co_return out;
  out = co_await LookupFinal(std::move(id));
  co_return out;
}

async::Task<UserApi::Found> UserApi::LookupFinal(std::string id) {
  Found out;
  auto entry = co_await deps_.client->Get(store::FinalKey(id));
  if (entry.ok()) {
    auto r = store::ReadFinal(entry.value.value);
    if (!r) co_return out;
    Remember(id, *r);
    out.kind = Found::Kind::kFinal;
    out.final_record = *r;
  } else if (entry.status == store::Status::kNotFound) {
    out.kind = Found::Kind::kNever;
  }
  co_return out;
}

async::Task<UserApi::Found> UserApi::LookupShared(std::string id) {
  Found out = FromMemory(id);
  if (out.kind == Found::Kind::kFinal) co_return out;
  const bool fresh = co_await deps_.linearizable_read->CatchUp();
  if (!fresh) {
    out = co_await Lookup(std::move(id));
    co_return out;
  }
  if (const jobs::Job* job = deps_.job_table->Find(id)) {
    out.kind = Found::Kind::kActive;
    out.job.cancelled = job->cancelled;
    out.warm = true;
    co_return out;
  }
  // Not active by then: it is final, or was never there.
  out = co_await LookupFinal(std::move(id));
  co_return out;
}

async::Task<UserApi::Found> UserApi::LookupWhole(std::string id) {
  while (true) {
    Found found = co_await LookupShared(id);
    if (found.kind != Found::Kind::kActive || found.job.cancelled) co_return found;
    if (!found.warm) {
      // No node may have told a cancellation that this one does not know of. What has been released
      // can't be cancelled by way of others any more.
      const jobs::Job* job = deps_.job_table->Find(id);
      if (found.job.spec.dependencies.empty() || (job != nullptr && !job->blocked)) co_return found;
      const Fate fate = co_await FateOf(found.job.spec.dependencies);
      if (fate == Fate::kUnknown) co_return Found();
      found.job.cancelled = fate == Fate::kCancelled;
      co_return found;
    }
    if (deps_.job_table->dependency_graph().UpstreamResolved(id)) co_return found;
    const bool settled = co_await deps_.wait_for_dependencies(id, deps_.client->timeout_s());
    if (!settled) co_return Found();
  }
}

async::Task<UserApi::Fate> UserApi::FateOf(std::vector<std::string> dependencies) {
  std::vector<std::string> next = std::move(dependencies);
  std::unordered_set<std::string> seen;
  int reads = 0;
  while (!next.empty()) {
    const std::string id = std::move(next.back());
    next.pop_back();
    if (!seen.insert(id).second) continue;
    if (const store::FinalRecord* known = deps_.job_table->dependency_graph().FindFinalRecord(id)) {
      if (known->phase == model::JobPhase::kCancelled) co_return Fate::kCancelled;
      continue;
    }
    // What the copy calls cancelled is so, however old it is; the rest it may not know yet.
    const jobs::Job* job = deps_.job_table->Find(id);
    if (job != nullptr && job->cancelled) co_return Fate::kCancelled;
    if (++reads > kMostReads) co_return Fate::kUnknown;
    Found found = co_await Lookup(id);
    if (found.kind == Found::Kind::kFinal) {
      if (found.final_record.phase == model::JobPhase::kCancelled) co_return Fate::kCancelled;
    } else if (found.kind == Found::Kind::kActive) {
      if (found.job.cancelled) co_return Fate::kCancelled;
      const auto& more = found.job.spec.dependencies;
      next.insert(next.end(), more.begin(), more.end());
    } else {
      co_return Fate::kUnknown;
    }
  }
  co_return Fate::kGoesOn;
}

async::Task<std::optional<wire::HttpResponse>> UserApi::CheckAwaits(
    std::vector<std::string> dependencies, bool* cancelled) {
  // Sorted out here as far as is known; what is not, every node finds out for itself later on.
  *cancelled = false;
  const bool warm = co_await deps_.linearizable_read->CatchUp();
  for (const std::string& id : dependencies) {
    bool service = false;
    if (const jobs::Job* job = deps_.job_table->Find(id)) {
      service = job->spec.kind == model::JobKind::kService;
      *cancelled = *cancelled || job->cancelled;
    } else {
      // Not active by then, if the copy is fresh: it is final, or was never there.
      Found found = FromMemory(id);
      if (found.kind != Found::Kind::kFinal) {
        if (warm) {
          found = co_await LookupFinal(id);
        } else {
          found = co_await Lookup(id);
        }
      }
      if (found.kind == Found::Kind::kNever) {
        co_return Answer(422, wire::WriteError(id + " was never accepted", "awaits"));
      }
      if (found.kind == Found::Kind::kUnknown) co_return NotNow("the state service is not there");
      const bool active = found.kind == Found::Kind::kActive;
      service = active && found.job.spec.kind == model::JobKind::kService;
      *cancelled = *cancelled || (active ? found.job.cancelled
                                         : found.final_record.phase == model::JobPhase::kCancelled);
    }
    if (service) co_return Answer(422, wire::WriteError(id + " never ends", "awaits"));
  }
  co_return std::nullopt;
}

wire::HttpResponse UserApi::Status(const std::string& id, const Found& found) const {
  if (found.kind == Found::Kind::kFinal) {
    model::JobStatus s;
    s.id = id;
    s.phase = found.final_record.phase;
    s.done = found.final_record.done;
    return Answer(200, wire::WriteJobStatus(s));
  }
  // Counts are for display and may lag; that it is not cancelled comes from the fresh read. The
  // warm copy may know more by now, and what is cancelled stays so.
  model::JobStatus s;
  s.id = id;
  if (const jobs::Job* job = deps_.job_table->Find(id)) s = job->Status();
  if (found.job.cancelled) s.phase = model::JobPhase::kCancelled;
  return Answer(200, wire::WriteJobStatus(s));
}

std::optional<wire::FieldError> UserApi::NeverRuns(const model::JobSpec& spec) const {
  const config::Team* team = deps_.settings->FindTeam(spec.team);
  if (team == nullptr) return wire::FieldError{"tenant", "unknown team"};
  const bool fits = std::any_of(
      deps_.machine_types->begin(), deps_.machine_types->end(), [&](const model::MachineType& f) {
        const bool there = spec.zone.empty() || f.zones.empty() ||
                           std::find(f.zones.begin(), f.zones.end(), spec.zone) != f.zones.end();
        return spec.AllowsMachineType(f.name) && there && spec.cpus <= f.cpus &&
               spec.gpus <= f.gpus && spec.memory_gb <= f.memory_gb;
      });
  if (!fits) return wire::FieldError{"flavors", "a task fits no allowed machine type"};
  const double together = spec.kind == model::JobKind::kService ? spec.tasks : 1;
  if ((team->cpus_max > 0 && together * spec.cpus > team->cpus_max) ||
      (team->gpus_max > 0 && together * spec.gpus > team->gpus_max)) {
    return wire::FieldError{"pieces", "needs more than the team's limit"};
  }
  return std::nullopt;
}

async::Task<wire::HttpResponse> UserApi::Submit(std::string body) {
  auto doc = wire::ParseObject(body);
  if (!doc) co_return Answer(400, wire::WriteError("not a JSON object"));
  auto spec = wire::ReadJobSpec(*doc);
  std::optional<wire::FieldError> never;
  if (spec && !deps_.machine_types->empty()) never = NeverRuns(*spec);
  if (!spec || never) {
    // Whoever was told "accepted" once must never be told anything worse, whatever came of the body
    // or of the machine types since.
    const std::string id = spec ? spec->id : wire::GetText(*doc, "id").value_or("");
    if (model::IsJobId(id)) {
      Found found = co_await LookupWhole(id);
      if (found.kind == Found::Kind::kUnknown) co_return NotNow("the state service is not there");
      if (found.kind != Found::Kind::kNever) co_return Status(id, found);
    }
    if (!spec) co_return Answer(400, wire::WriteError(spec.error().reason, spec.error().field));
    co_return Answer(422, wire::WriteError(never->reason, never->field));
  }
  if (deps_.machine_types->empty()) co_return NotNow("machine types are not known yet");
  const std::string id = spec->id;
  if (!final_records_.contains(id) && deps_.job_table->Find(id) == nullptr) {
    std::optional<wire::HttpResponse> answer = co_await Accept(std::move(*spec));
    if (answer) co_return std::move(*answer);
  }
  Found found = co_await LookupWhole(id);
  if (found.kind == Found::Kind::kActive || found.kind == Found::Kind::kFinal) {
    co_return Status(id, found);
  }
  co_return NotNow("the state service is not there");
}

async::Task<std::optional<wire::HttpResponse>> UserApi::Accept(model::JobSpec spec) {
  const std::string id = spec.id;
  store::JobRecord record;
  record.spec = std::move(spec);
  record.submitted_at = deps_.time_of_day();
  std::optional<wire::HttpResponse> refused;
  // Room for what a cancellation adds is not needed: that leaves out what has no room.
  const double most = deps_.settings->SmallestStateLimits().value_kb * 1024;
  record.tasks_per_group = deps_.formats->new_job_group_size();
  if (static_cast<double>(store::WriteJob(record).size()) > most) {
    const bool many = record.spec.dependencies.size() > record.spec.machine_types.size();
    refused = Answer(400, wire::WriteError(many ? "names more jobs than fit"
                                                : "lists more machine types than fit",
                                           many ? "awaits" : "flavors"));
  }
  if (!record.spec.dependencies.empty()) {
    if (!refused) refused = co_await CheckAwaits(record.spec.dependencies, &record.cancelled);
    // Users name others only once every node can read it.
    if (!refused) deps_.formats->MarkAllNodesUpgraded("a submission awaits others");
  }
  if (refused) {
    // Whoever was told "accepted" once must never be told anything worse; the version before took
    // what the lower limits no longer hold.
    Found found = co_await Lookup(id);
    if (found.kind == Found::Kind::kUnknown) co_return NotNow("the state service is not there");
    if (found.kind != Found::Kind::kNever) co_return std::nullopt;
    co_return refused;
  }
  const std::string value = store::WriteJob(record);
  std::vector<model::Precondition> preconditions = {{store::JobKey(id), 0},
                                                    {store::FinalKey(id), 0}};
  std::vector<model::KeyWrite> writes = {{store::JobKey(id), value, 0}};
  auto r = co_await deps_.client->Commit(std::move(preconditions), std::move(writes));
  if (r.ok()) {
    deps_.cache->ApplyAheadOfWatch(store::JobKey(id), value, r.value.revision);
    // What was read for it just now need not be read again.
    for (const std::string& a : record.spec.dependencies) {
      if (auto it = final_records_.find(a); it != final_records_.end())
        deps_.job_table->SetFinalRecord(a, it->second);
    }
    spdlog::info("job {} accepted: {} x {} cpus, team {}, awaits {}{}", id, record.spec.tasks,
                 record.spec.cpus, record.spec.team, record.spec.dependencies.size(),
                 record.cancelled ? ", cancelled with what it needs" : "");
    co_return Answer(201, wire::WriteJobPhase(id, model::JobPhase::kPending));
  }
  if (r.status == store::Status::kConflict) co_return std::nullopt;
  co_return NotNow("the state service is not there");
}

async::Task<wire::HttpResponse> UserApi::Poll(std::string id) {
  if (!model::IsJobId(id)) co_return Answer(404, wire::WriteError("no such job"));
  Found found = co_await LookupWhole(id);
  if (found.kind == Found::Kind::kNever) co_return Answer(404, wire::WriteError("no such job"));
  if (found.kind == Found::Kind::kUnknown) co_return NotNow("the state service is not there");
  co_return Status(id, found);
}

async::Task<wire::HttpResponse> UserApi::Cancel(std::string id) {
  if (!model::IsJobId(id)) co_return Answer(404, wire::WriteError("no such job"));
  const auto least = static_cast<size_t>(deps_.settings->SmallestStateLimits().value_kb * 1024);
  size_t most = deps_.formats->max_value_bytes();
  for (int attempt = 0; attempt < kCasTries; ++attempt) {
    Found found = co_await Lookup(id);
    if (found.kind == Found::Kind::kNever) co_return Answer(404, wire::WriteError("no such job"));
    if (found.kind == Found::Kind::kUnknown) break;
    if (found.kind == Found::Kind::kFinal) {
      co_return Answer(200, wire::WriteJobPhase(id, found.final_record.phase));
    }
    if (found.job.cancelled)
      co_return Answer(200, wire::WriteJobPhase(id, model::JobPhase::kCancelled));
    const std::string key = store::JobKey(id);
    const std::string value = store::WriteCancelledJob(std::move(found.job), most);
    std::vector<model::Precondition> preconditions = {{key, found.version}};
    std::vector<model::KeyWrite> writes = {{key, value, 0}};
    ++cancelling_;
    auto r = co_await deps_.client->Commit(std::move(preconditions), std::move(writes),
                                           store::RequestPriority::kUrgent);
    --cancelling_;
    if (r.ok()) {
      deps_.cache->ApplyAheadOfWatch(key, value, r.value.revision);
      deps_.broadcast_cancellation(id, r.value.revision);
      spdlog::info("job {} cancelled", id);
      co_return Answer(200, wire::WriteJobPhase(id, model::JobPhase::kCancelled));
    }
    if (r.status == store::Status::kInvalid && value.size() > least) {
      // The limits are lower already, and this node did not know.
      deps_.formats->MarkAllNodesUpgraded("the limits are lower");
      most = least;
      continue;
    }
    if (r.status != store::Status::kConflict) break;
  }
  co_return NotNow("the state service is not there");
}

}  // namespace hallpier::api
