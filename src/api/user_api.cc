#include "api/user_api.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <unordered_set>

#include "model/key_value.h"
#include "wire/json.h"

namespace hallpier::api {
namespace {

// Cached final records per megabyte of this node's memory; each takes a few hundred bytes.
constexpr double kFinalRecordsPerMb = 50;
constexpr int kRetryAfterS = 1;
constexpr int kMaxCasAttempts = 4;
// Maximum number of records read for one lookup of a job with dependencies.
constexpr int kMaxDependencyReads = 8;

wire::HttpResponse Answer(int status, std::string body) {
  return {.status = status, .body = std::move(body)};
}

wire::HttpResponse Unavailable(std::string_view reason) {
  return {.status = 503, .body = wire::WriteError(reason), .retry_after_s = kRetryAfterS};
}

}  // namespace

UserApi::JobLookup UserApi::FindCachedFinal(const std::string& id) const {
  JobLookup out;
  if (auto it = final_records_.find(id); it != final_records_.end()) {
    out.kind = JobLookup::Kind::kFinal;
    out.final_record = it->second;
  }
  return out;
}

void UserApi::CacheFinal(const std::string& id, const store::FinalRecord& record) {
  if (!final_records_.emplace(id, record).second) return;
  final_record_order_.push_back(id);
  if (static_cast<double>(final_record_order_.size()) >
      kFinalRecordsPerMb * deps_.settings->memory_mb) {
    final_records_.erase(final_record_order_.front());
    final_record_order_.pop_front();
  }
}

async::Task<UserApi::JobLookup> UserApi::Lookup(std::string id) {
  JobLookup out = FindCachedFinal(id);
  if (out.kind == JobLookup::Kind::kFinal) co_return out;
  // Reads the active record before the final one: a job moves from active to final and never back.
  auto active = co_await deps_.client->Get(store::JobKey(id));
  if (active.ok()) {
    auto job = store::ReadJob(active.value.value);
    if (!job) co_return out;
    out.kind = JobLookup::Kind::kActive;
    out.job = std::move(*job);
    out.version = active.value.version;
    // This node must be able to tell the other nodes of every cancellation that it reports to
    // users. A cancellation that it reads here becomes part of a response, and the node that
    // recorded it may be gone.
    deps_.cache->ApplyAheadOfWatch(active.value.key, active.value.value, active.value.version);
    co_return out;
  }
  if (active.status != store::Status::kNotFound) co_return out;
  out = co_await LookupFinal(std::move(id));
  co_return out;
}

async::Task<UserApi::JobLookup> UserApi::LookupFinal(std::string id) {
  JobLookup out;
  auto entry = co_await deps_.client->Get(store::FinalKey(id));
  if (entry.ok()) {
    auto record = store::ReadFinal(entry.value.value);
    if (!record) co_return out;
    CacheFinal(id, *record);
    out.kind = JobLookup::Kind::kFinal;
    out.final_record = *record;
  } else if (entry.status == store::Status::kNotFound) {
    out.kind = JobLookup::Kind::kNotFound;
  }
  co_return out;
}

async::Task<UserApi::JobLookup> UserApi::LookupLinearizable(std::string id) {
  JobLookup out = FindCachedFinal(id);
  if (out.kind == JobLookup::Kind::kFinal) co_return out;
  const bool caught_up = co_await deps_.linearizable_read->CatchUp();
  if (!caught_up) {
    out = co_await Lookup(std::move(id));
    co_return out;
  }
  if (const jobs::Job* job = deps_.job_table->Find(id)) {
    out.kind = JobLookup::Kind::kActive;
    out.job.cancelled = job->cancelled;
    out.from_watch_cache = true;
    co_return out;
  }
  // Not active at the time of the read, so it is final or was never accepted.
  out = co_await LookupFinal(std::move(id));
  co_return out;
}

async::Task<UserApi::JobLookup> UserApi::LookupWithDependencies(std::string id) {
  while (true) {
    JobLookup found = co_await LookupLinearizable(id);
    if (found.kind != JobLookup::Kind::kActive || found.job.cancelled) co_return found;
    if (!found.from_watch_cache) {
      // The response must not contradict a cancellation that another node has reported and this
      // node does not know of. A job that is no longer blocked can't be cancelled through its
      // dependencies any more.
      const jobs::Job* job = deps_.job_table->Find(id);
      if (found.job.spec.dependencies.empty() || (job != nullptr && !job->blocked)) co_return found;
      const DependencyState state = co_await LookupDependencyState(found.job.spec.dependencies);
      if (state == DependencyState::kUnknown) co_return JobLookup();
      found.job.cancelled = state == DependencyState::kCancelled;
      co_return found;
    }
    if (deps_.job_table->dependency_graph().UpstreamResolved(id)) co_return found;
    const bool resolved = co_await deps_.wait_for_dependencies(id, deps_.client->timeout_s());
    if (!resolved) co_return JobLookup();
  }
}

async::Task<UserApi::DependencyState> UserApi::LookupDependencyState(
    std::vector<std::string> dependencies) {
  std::vector<std::string> pending = std::move(dependencies);
  std::unordered_set<std::string> visited;
  int reads = 0;
  while (!pending.empty()) {
    const std::string id = std::move(pending.back());
    pending.pop_back();
    if (!visited.insert(id).second) continue;
    if (const store::FinalRecord* final_record =
            deps_.job_table->dependency_graph().FindFinalRecord(id)) {
      if (final_record->phase == model::JobPhase::kCancelled) co_return DependencyState::kCancelled;
      continue;
    }
    // A cancellation in the watch cache is valid however old the cache is; anything else may be out
    // of date.
    const jobs::Job* job = deps_.job_table->Find(id);
    if (job != nullptr && job->cancelled) co_return DependencyState::kCancelled;
    if (++reads > kMaxDependencyReads) co_return DependencyState::kUnknown;
    JobLookup found = co_await Lookup(id);
    if (found.kind == JobLookup::Kind::kFinal) {
      if (found.final_record.phase == model::JobPhase::kCancelled)
        co_return DependencyState::kCancelled;
    } else if (found.kind == JobLookup::Kind::kActive) {
      if (found.job.cancelled) co_return DependencyState::kCancelled;
      const auto& upstream = found.job.spec.dependencies;
      pending.insert(pending.end(), upstream.begin(), upstream.end());
    } else {
      co_return DependencyState::kUnknown;
    }
  }
  co_return DependencyState::kNotCancelled;
}

async::Task<std::optional<wire::HttpResponse>> UserApi::CheckDependencies(
    std::vector<std::string> dependencies, bool* cancelled) {
  // Checks only what is known now. If a dependency is cancelled later, every node derives that from
  // the records (jobs/dependency_graph.h).
  *cancelled = false;
  const bool caught_up = co_await deps_.linearizable_read->CatchUp();
  for (const std::string& id : dependencies) {
    bool is_service = false;
    if (const jobs::Job* job = deps_.job_table->Find(id)) {
      is_service = job->spec.kind == model::JobKind::kService;
      *cancelled = *cancelled || job->cancelled;
    } else {
      // If the watch cache has caught up, the job is not active, so it is final or was never
      // accepted.
      JobLookup found = FindCachedFinal(id);
      if (found.kind != JobLookup::Kind::kFinal) {
        if (caught_up) {
          found = co_await LookupFinal(id);
        } else {
          found = co_await Lookup(id);
        }
      }
      if (found.kind == JobLookup::Kind::kNotFound) {
        co_return Answer(422, wire::WriteError(id + " was never accepted", "awaits"));
      }
      if (found.kind == JobLookup::Kind::kUnknown)
        co_return Unavailable("the state service is not there");
      const bool active = found.kind == JobLookup::Kind::kActive;
      is_service = active && found.job.spec.kind == model::JobKind::kService;
      *cancelled = *cancelled || (active ? found.job.cancelled
                                         : found.final_record.phase == model::JobPhase::kCancelled);
    }
    if (is_service) co_return Answer(422, wire::WriteError(id + " never ends", "awaits"));
  }
  co_return std::nullopt;
}

async::Task<wire::HttpResponse> UserApi::RespondWithStatus(std::string id, JobLookup found) {
  const jobs::Job* job = deps_.job_table->Find(id);
  if (found.kind == JobLookup::Kind::kActive &&
      (found.job.cancelled || (job != nullptr && job->cancelled))) {
    // The job's records may be deleted during the wait.
    found.job.cancelled = true;
    co_await deps_.await_cancellation_effective(id);
  }
  co_return StatusResponse(id, found);
}

wire::HttpResponse UserApi::StatusResponse(const std::string& id, const JobLookup& found) const {
  if (found.kind == JobLookup::Kind::kFinal) {
    model::JobStatus status;
    status.id = id;
    status.phase = found.final_record.phase;
    status.done = found.final_record.done;
    return Answer(200, wire::WriteJobStatus(status));
  }
  // The counts are informational and may lag. If the job was not cancelled at the time of the
  // lookup, the watch cache may have learned of a cancellation since; reporting it is correct,
  // because a cancellation is never undone.
  model::JobStatus status;
  status.id = id;
  if (const jobs::Job* job = deps_.job_table->Find(id)) status = job->Status();
  if (found.job.cancelled) status.phase = model::JobPhase::kCancelled;
  return Answer(200, wire::WriteJobStatus(status));
}

std::optional<wire::FieldError> UserApi::FindInfeasibility(const model::JobSpec& spec) const {
  const config::Team* team = deps_.settings->FindTeam(spec.team);
  if (team == nullptr) return wire::FieldError{"tenant", "unknown team"};
  const bool fits =
      std::any_of(deps_.machine_types->begin(), deps_.machine_types->end(),
                  [&](const model::MachineType& type) {
                    const bool in_zone = spec.zone.empty() || type.zones.empty() ||
                                         std::find(type.zones.begin(), type.zones.end(),
                                                   spec.zone) != type.zones.end();
                    return spec.AllowsMachineType(type.name) && in_zone && spec.cpus <= type.cpus &&
                           spec.gpus <= type.gpus && spec.memory_gb <= type.memory_gb;
                  });
  if (!fits) return wire::FieldError{"flavors", "a task fits no allowed machine type"};
  const double concurrent_tasks = spec.kind == model::JobKind::kService ? spec.tasks : 1;
  if ((team->cpus_max > 0 && concurrent_tasks * spec.cpus > team->cpus_max) ||
      (team->gpus_max > 0 && concurrent_tasks * spec.gpus > team->gpus_max)) {
    return wire::FieldError{"pieces", "needs more than the team's limit"};
  }
  return std::nullopt;
}

async::Task<wire::HttpResponse> UserApi::Submit(std::string body) {
  auto doc = wire::ParseObject(body);
  if (!doc) co_return Answer(400, wire::WriteError("not a JSON object"));
  auto spec = wire::ReadJobSpec(*doc);
  std::optional<wire::FieldError> infeasible;
  if (spec && !deps_.machine_types->empty()) infeasible = FindInfeasibility(*spec);
  if (!spec || infeasible) {
    // A job that was once answered as accepted must never be rejected later, even if the body of
    // the repeated request is different or the machine types have changed since.
    const std::string id = spec ? spec->id : wire::GetText(*doc, "id").value_or("");
    if (model::IsJobId(id)) {
      JobLookup found = co_await LookupWithDependencies(id);
      if (found.kind == JobLookup::Kind::kUnknown)
        co_return Unavailable("the state service is not there");
      if (found.kind != JobLookup::Kind::kNotFound) {
        co_return co_await RespondWithStatus(id, std::move(found));
      }
    }
    if (!spec) co_return Answer(400, wire::WriteError(spec.error().reason, spec.error().field));
    co_return Answer(422, wire::WriteError(infeasible->reason, infeasible->field));
  }
  if (deps_.machine_types->empty()) co_return Unavailable("machine types are not known yet");
  const std::string id = spec->id;
  if (!final_records_.contains(id) && deps_.job_table->Find(id) == nullptr) {
    std::optional<wire::HttpResponse> answer = co_await Accept(std::move(*spec));
    if (answer) co_return std::move(*answer);
  }
  JobLookup found = co_await LookupWithDependencies(id);
  if (found.kind == JobLookup::Kind::kActive || found.kind == JobLookup::Kind::kFinal) {
    co_return co_await RespondWithStatus(id, std::move(found));
  }
  co_return Unavailable("the state service is not there");
}

async::Task<std::optional<wire::HttpResponse>> UserApi::Accept(model::JobSpec spec) {
  const std::string id = spec.id;
  store::JobRecord record;
  record.spec = std::move(spec);
  record.submitted_at = deps_.time_of_day();
  std::optional<wire::HttpResponse> refused;
  // No room is reserved for the fields that a cancellation adds: the record of a cancelled job
  // omits fields if it would be too large.
  const double max_bytes = deps_.settings->SmallestStateLimits().value_kb * 1024;
  record.tasks_per_group = deps_.formats->new_job_group_size();
  if (static_cast<double>(store::WriteJob(record).size()) > max_bytes) {
    const bool too_many_dependencies =
        record.spec.dependencies.size() > record.spec.machine_types.size();
    refused =
        Answer(400, wire::WriteError(too_many_dependencies ? "names more jobs than fit"
                                                           : "lists more machine types than fit",
                                     too_many_dependencies ? "awaits" : "flavors"));
  }
  if (!record.spec.dependencies.empty()) {
    if (!refused) refused = co_await CheckDependencies(record.spec.dependencies, &record.cancelled);
    // Users submit dependencies only once every node can read them.
    if (!refused) deps_.formats->MarkAllNodesUpgraded("a submission has dependencies");
  }
  if (refused) {
    // A job that was once answered as accepted must never be rejected later; the previous version
    // accepted jobs whose records exceed the lower limits.
    JobLookup found = co_await Lookup(id);
    if (found.kind == JobLookup::Kind::kUnknown)
      co_return Unavailable("the state service is not there");
    if (found.kind != JobLookup::Kind::kNotFound) co_return std::nullopt;
    co_return refused;
  }
  const std::string value = store::WriteJob(record);
  std::vector<model::Precondition> preconditions = {{store::JobKey(id), 0},
                                                    {store::FinalKey(id), 0}};
  std::vector<model::KeyWrite> writes = {{store::JobKey(id), value, 0}};
  auto result = co_await deps_.client->Commit(std::move(preconditions), std::move(writes));
  if (result.ok()) {
    deps_.cache->ApplyAheadOfWatch(store::JobKey(id), value, result.value.revision);
    // The final records that CheckDependencies() has just read need not be read again.
    for (const std::string& dependency : record.spec.dependencies) {
      if (auto it = final_records_.find(dependency); it != final_records_.end())
        deps_.job_table->SetFinalRecord(dependency, it->second);
    }
    spdlog::info("job accepted: job={} tasks={} cpus={} team={} awaits={}{}", id, record.spec.tasks,
                 record.spec.cpus, record.spec.team, record.spec.dependencies.size(),
                 record.cancelled ? " cancelled_by=dependency" : "");
    co_return Answer(201, wire::WriteJobPhase(id, model::JobPhase::kPending));
  }
  if (result.status == store::Status::kConflict) co_return std::nullopt;
  co_return Unavailable("the state service is not there");
}

async::Task<wire::HttpResponse> UserApi::Poll(std::string id) {
  if (!model::IsJobId(id)) co_return Answer(404, wire::WriteError("no such job"));
  JobLookup found = co_await LookupWithDependencies(id);
  if (found.kind == JobLookup::Kind::kNotFound)
    co_return Answer(404, wire::WriteError("no such job"));
  if (found.kind == JobLookup::Kind::kUnknown)
    co_return Unavailable("the state service is not there");
  co_return co_await RespondWithStatus(std::move(id), std::move(found));
}

async::Task<wire::HttpResponse> UserApi::Cancel(std::string id) {
  if (!model::IsJobId(id)) co_return Answer(404, wire::WriteError("no such job"));
  const auto smallest_limit_bytes =
      static_cast<size_t>(deps_.settings->SmallestStateLimits().value_kb * 1024);
  size_t max_bytes = deps_.formats->max_value_bytes();
  for (int attempt = 0; attempt < kMaxCasAttempts; ++attempt) {
    JobLookup found = co_await Lookup(id);
    if (found.kind == JobLookup::Kind::kNotFound)
      co_return Answer(404, wire::WriteError("no such job"));
    if (found.kind == JobLookup::Kind::kUnknown) break;
    if (found.kind == JobLookup::Kind::kFinal) {
      co_return Answer(200, wire::WriteJobPhase(id, found.final_record.phase));
    }
    if (found.job.cancelled) {
      co_await deps_.await_cancellation_effective(id);
      co_return Answer(200, wire::WriteJobPhase(id, model::JobPhase::kCancelled));
    }
    const std::string key = store::JobKey(id);
    const std::string value = store::WriteCancelledJob(std::move(found.job), max_bytes);
    std::vector<model::Precondition> preconditions = {{key, found.version}};
    std::vector<model::KeyWrite> writes = {{key, value, 0}};
    ++pending_cancellations_;
    auto result = co_await deps_.client->Commit(std::move(preconditions), std::move(writes),
                                                store::RequestPriority::kUrgent);
    --pending_cancellations_;
    if (result.ok()) {
      deps_.cache->ApplyAheadOfWatch(key, value, result.value.revision);
      deps_.broadcast_cancellation(id, result.value.revision);
      spdlog::info("cancel: recorded job={}", id);
      co_await deps_.await_cancellation_effective(id);
      co_return Answer(200, wire::WriteJobPhase(id, model::JobPhase::kCancelled));
    }
    if (result.status == store::Status::kInvalid && value.size() > smallest_limit_bytes) {
      // The state service already enforces the lower limits, which this node did not know.
      deps_.formats->MarkAllNodesUpgraded("the state service enforces the lower limits");
      max_bytes = smallest_limit_bytes;
      continue;
    }
    if (result.status != store::Status::kConflict) break;
  }
  co_return Unavailable("the state service is not there");
}

}  // namespace hallpier::api
