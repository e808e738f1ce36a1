#include "fleet/worker_registry.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>
#include <unordered_set>
#include <utility>

#include "fleet/response_acknowledgement.h"
#include "fleet/slowness_estimate.h"

namespace hallpier::fleet {
namespace {

// Maximum relative drift between steady clocks. A fraction of the heartbeat interval (1 divided by
// kTimerSlackDivisor) covers clock steps and late timers.
constexpr double kClockDrift = 0.001;
constexpr double kTimerSlackDivisor = 3;
// Terminated machines are remembered so that delayed lists and heartbeats don't add them again. At
// least this many are remembered, and at least as many as can be terminated while a list may still
// name them or a heartbeat of theirs may be in transit.
constexpr size_t kMinConfirmedTerminations = 5000;
// Upper bound of the lag of a list, in multiples of the usual maximum (Options::list_lag_s).
constexpr double kMaxListLags = 2;
// A machine gets new tasks only if its last heartbeat is younger than this many intervals.
constexpr double kMaxHeartbeatAge = 1.8;

FailureTracker::Options FailureOptions(const WorkerRegistry::Options& options) {
  return {.initial_backoff_s = options.heartbeat_interval_s,
          .max_backoff_s = options.lease_s,
          .quarantine_s = options.lease_s,
          .retries_per_s = options.retries_per_s};
}

size_t MaxConfirmedTerminations(const WorkerRegistry::Options& options) {
  const double remembered_s = kMaxListLags * options.list_lag_s + options.lease_s;
  return std::max(kMinConfirmedTerminations,
                  static_cast<size_t>(options.terminations_per_s * remembered_s));
}

// Heartbeats may be delayed for minutes. One that is not newer than the known status proves
// nothing.
bool IsNewer(const model::Heartbeat& report, const Machine& machine) {
  if (!machine.has_reported()) return true;
  if (report.agent_epoch != machine.agent.epoch) return report.agent_epoch > machine.agent.epoch;
  return report.sequence > machine.agent.sequence;
}

// True if the agent is new, has a new epoch, or has seen a higher token.
bool IsAgentChanged(const model::Heartbeat& report, const Machine& machine) {
  return !machine.has_reported() || report.agent_epoch > machine.agent.epoch ||
         report.token > machine.agent.token;
}

void UpdateIdentity(Machine& machine, const model::Heartbeat& report) {
  machine.endpoint = report.endpoint;
  machine.machine_type = report.machine_type;
  machine.zone = report.zone;
  machine.spot = report.spot;
}

void UpdateAgent(AgentState& agent, const model::Heartbeat& report, double now, bool direct) {
  const bool is_new_epoch = report.agent_epoch > agent.epoch;
  agent.epoch = report.agent_epoch;
  agent.sequence = report.sequence;
  agent.token = report.token;
  agent.unreachable = false;
  agent.last_status = now;
  if (!direct) {
    agent.heartbeat_sequence = report.sequence;
    agent.last_heartbeat = now;
  } else if (is_new_epoch) {
    agent.heartbeat_sequence = 0;
    // The new epoch has a new lease that no response has renewed. It started at `now` at the
    // latest. A task that a direct command starts in this epoch may live until that lease expires.
    agent.last_response = std::max(agent.last_response, now);
  }
}

// True if a spot notice was given or withdrawn.
bool UpdateSpotNotice(Machine& machine, const model::Heartbeat& report, double now) {
  const bool had_notice = machine.HasSpotNotice();
  machine.agent.reclaim_at =
      report.spot_notice_s ? now + *report.spot_notice_s : std::numeric_limits<double>::infinity();
  return had_notice != report.spot_notice_s.has_value();
}

using ReportedTasks = std::map<model::TaskId, ReportedTask>;

// Returns the last report of an attempt; null if there is none.
const ReportedTask* FindAttempt(const ReportedTasks& tasks, const model::TaskStatus& status) {
  auto entry = tasks.find(status.task);
  if (entry == tasks.end() || entry->second.attempt != status.attempt) return nullptr;
  return &entry->second;
}

bool IsUnchanged(const ReportedTask* previous, const model::TaskStatus& status) {
  return previous != nullptr && previous->phase == status.phase && previous->cause == status.cause;
}

// Returns the entry for a newly reported state. `previous`: the attempt's last report, or null.
ReportedTask DescribeNewState(const model::TaskStatus& status, const ReportedTask* previous,
                              bool start_was_sent, double now) {
  ReportedTask reported;
  reported.attempt = status.attempt;
  reported.phase = status.phase;
  reported.cause = status.cause;
  reported.phase_since = now;
  if (status.phase == model::TaskPhase::kRunning) {
    reported.start_observed = previous != nullptr || start_was_sent;
  }
  if (status.phase == model::TaskPhase::kExited && previous != nullptr &&
      previous->phase == model::TaskPhase::kRunning && previous->start_observed) {
    reported.run_s = now - previous->phase_since;
  }
  return reported;
}

bool HaveTasksChanged(const ReportedTasks& before, const ReportedTasks& after) {
  if (before.size() != after.size()) return true;
  return std::any_of(after.begin(), after.end(), [&](const auto& entry) {
    const auto& [task, reported] = entry;
    auto old = before.find(task);
    return old == before.end() || old->second.phase != reported.phase ||
           old->second.attempt != reported.attempt;
  });
}

}  // namespace

WorkerRegistry::WorkerRegistry(Options options)
    : options_(options),
      max_confirmed_terminations_(MaxConfirmedTerminations(options)),
      failure_tracker_(FailureOptions(options)) {}

void WorkerRegistry::BeginTerm(model::FencingToken token, double now,
                               double former_leader_deadline) {
  token_ = token;
  highest_token_ = token;
  first_token_of_term_ = token;
  term_start_ = now;
  former_leader_deadline_ = former_leader_deadline;
  confirmed_terminations_.clear();
  for (auto& [name, machine] : machines_) {
    machine.sent_starts.clear();
    machine.command_token = {};
    machine.direct_start_token = {};
    // Tasks that started in an earlier term of ours have since been observed by other leaders. This
    // leader does not know their run times, and would count healthy machines as slow.
    for (auto& [task, reported] : machine.reported_tasks) reported.start_observed = false;
  }
}

void WorkerRegistry::SetToken(model::FencingToken token) {
  token_ = token;
  highest_token_ = std::max(highest_token_, token);
}

void WorkerRegistry::OnCommitted(uint64_t revision) {
  highest_token_ = std::max(highest_token_, model::FencingToken(revision));
}

Machine* WorkerRegistry::Find(const std::string& name) {
  auto entry = index_.find(name);
  return entry == index_.end() ? nullptr : entry->second;
}

const Machine* WorkerRegistry::Find(const std::string& name) const {
  auto entry = index_.find(name);
  return entry == index_.end() ? nullptr : entry->second;
}

WorkerRegistry::FoundMachine WorkerRegistry::FindOrAdd(const std::string& name) {
  auto [entry, is_new] = index_.try_emplace(name, nullptr);
  if (is_new) {
    entry->second = &machines_.try_emplace(name).first->second;
    entry->second->name = name;
  }
  return {*entry->second, is_new};
}

void WorkerRegistry::Remove(const std::string& name) {
  index_.erase(name);
  machines_.erase(name);
}

bool WorkerRegistry::OnHeartbeat(const model::Heartbeat& report, double now, bool direct) {
  const FoundMachine found = FindOrAdd(report.machine);
  Machine& machine = found.machine;
  if (found.is_new) OnFirstStatus(machine, now);
  if (!IsNewer(report, machine)) return false;
  if (direct) {
    machine.responses.unacknowledged = 0;  // the machine responds to direct commands
  } else {
    CheckAcknowledgement(machine, report, token_, options_.lease_s, now);
  }
  // The boot time is unknown if neither a scale-out request nor a list has named the machine
  // before.
  if (!found.is_new) ObserveBootTime(machine, report, now);
  const bool agent_changed = IsAgentChanged(report, machine);
  UpdateIdentity(machine, report);
  UpdateAgent(machine.agent, report, now, direct);
  if (HasSeenToken(machine)) {
    machine.command_token = std::max(machine.command_token, machine.agent.token);
  }
  machine.cloud.booting = false;
  const bool notice_changed = UpdateSpotNotice(machine, report, now);
  const ReportedTasks before = machine.reported_tasks;
  UpdateTasks(machine, report, now);
  return agent_changed || notice_changed || HaveTasksChanged(before, machine.reported_tasks);
}

void WorkerRegistry::OnFirstStatus(Machine& machine, double now) {
  machine.cloud.requested_at = now;
  machine.cloud.idle_since = now;
  // A terminated machine reports if its heartbeat was delayed, or if a delayed scale-out request
  // has created the machine again. Its termination is then requested again.
  if (IsTerminationConfirmed(machine.name))
    RequestTermination(machine, "heartbeat after termination");
}

void WorkerRegistry::ObserveBootTime(const Machine& machine, const model::Heartbeat& report,
                                     double now) {
  if (machine.has_reported() || !machine.cloud.booting) return;
  boot_times_.OnBooted(report.machine_type, now - machine.cloud.requested_at, now);
}

void WorkerRegistry::UpdateTasks(Machine& machine, const model::Heartbeat& report, double now) {
  ReportedTasks updated;
  for (const model::TaskStatus& status : report.tasks) {
    const ReportedTask* previous = FindAttempt(machine.reported_tasks, status);
    ReportedTask reported;
    if (IsUnchanged(previous, status)) {
      reported = *previous;
    } else {
      RecordExit(machine, status, now);
      const bool start_was_sent = machine.sent_starts.contains(status.task);
      reported = DescribeNewState(status, previous, start_was_sent, now);
    }
    // A worker may report several attempts of a task; keep the newest one.
    auto [entry, is_new] = updated.emplace(status.task, reported);
    if (!is_new && entry->second.attempt < reported.attempt) entry->second = reported;
  }
  machine.reported_tasks = std::move(updated);
}

void WorkerRegistry::RecordExit(const Machine& machine, const model::TaskStatus& status,
                                double now) {
  // A task that fails before any heartbeat has reported it alive counts like any other failure.
  if (status.phase != model::TaskPhase::kExited) return;
  if (status.cause == model::ExitCause::kDone) {
    failure_tracker_.OnSuccess(status.task.job, machine.name);
  }
  if (status.cause == model::ExitCause::kError) {
    failure_tracker_.OnFailure(status.task.job, machine.name, now);
  }
}

void WorkerRegistry::OnResponseSent(const model::Heartbeat& report,
                                    const std::vector<model::WorkerCommand>& commands, double now) {
  Machine* machine = Find(report.machine);
  if (machine == nullptr) return;
  AgentState& agent = machine->agent;
  if (!machine->IsNewestStatus(report)) {
    // An agent's lease counts from when it sent the answered heartbeat. This heartbeat was sent
    // before the newest status, which has arrived by now, so the response to a delayed copy renews
    // the lease no further than from last_status.
    agent.last_response = std::max(agent.last_response, agent.last_status);
    return;
  }
  agent.last_response = now;
  ExpectAcknowledgement(*machine, commands, CommandToken(*machine));
}

void WorkerRegistry::OnCloudList(const std::vector<model::CloudMachine>& listed,
                                 double list_requested_at, double now) {
  std::unordered_set<std::string> listed_names;
  listed_names.reserve(listed.size());
  for (const model::CloudMachine& machine : listed) {
    // The list may still contain machines whose termination is already confirmed.
    if (IsTerminationConfirmed(machine.machine)) continue;
    listed_names.insert(machine.machine);
    UpdateFromList(machine, now);
  }
  std::vector<std::string> unlisted;
  for (const auto& [name, machine] : machines_) {
    if (!listed_names.contains(name) && HasLeftList(machine, list_requested_at))
      unlisted.push_back(name);
  }
  for (const std::string& name : unlisted) {
    spdlog::info("machine gone: machine={} reason=no longer listed", name);
    OnTerminated(name);
  }
}

void WorkerRegistry::UpdateFromList(const model::CloudMachine& listed, double now) {
  const FoundMachine found = FindOrAdd(listed.machine);
  Machine& machine = found.machine;
  if (found.is_new || !machine.has_reported()) {
    machine.endpoint = listed.endpoint;
    machine.machine_type = listed.machine_type;
    machine.zone = listed.zone;
    machine.spot = listed.spot;
  }
  CloudState& cloud = machine.cloud;
  if (found.is_new) cloud.idle_since = now;
  if (!cloud.listed) {
    cloud.listed = true;
    cloud.first_listed = now;
    cloud.requested_at = now - listed.age_s;
  }
  if (cloud.booting && listed.state != model::CloudMachineState::kBooting) {
    cloud.booting = false;
    cloud.up_since = now;
  }
  if (listed.state == model::CloudMachineState::kFailed) {
    RequestTermination(machine, "cloud reports failure");
  }
}

bool WorkerRegistry::HasLeftList(const Machine& machine, double list_requested_at) const {
  // A list may be older than the previous one, but not by more than the maximum lag. A machine that
  // was first listed more than the maximum lag before this list was requested, and that is missing
  // from it, is gone.
  const double max_lag_s =
      kMaxListLags * options_.list_lag_s + options_.heartbeat_interval_s / kTimerSlackDivisor;
  return machine.cloud.listed && list_requested_at - machine.cloud.first_listed > max_lag_s;
}

void WorkerRegistry::OnScaledOut(const std::vector<std::string>& names,
                                 const model::ScaleOutRequest& request, double now) {
  for (const std::string& name : names) {
    const FoundMachine found = FindOrAdd(name);
    if (!found.is_new) continue;
    Machine& machine = found.machine;
    machine.machine_type = request.machine_type;
    machine.zone = request.zone;
    machine.spot = request.spot;
    machine.cloud.requested_at = now;
    machine.cloud.idle_since = now;
  }
}

void WorkerRegistry::OnTerminated(const std::string& machine_name) {
  failure_tracker_.ForgetMachine(machine_name);
  confirmed_terminations_.insert(machine_name);
  // Names increase with time: the first in order are the least likely to be reported again.
  if (confirmed_terminations_.size() > max_confirmed_terminations_)
    confirmed_terminations_.erase(confirmed_terminations_.begin());
  // Must come last, because `machine_name` may refer to the name inside the removed machine.
  Remove(machine_name);
}

void WorkerRegistry::RequestTermination(Machine& machine, const std::string& reason) {
  if (machine.cloud.terminating) return;
  machine.cloud.terminating = true;
  machine.cloud.termination_reason = reason;
  spdlog::info("scale in: machine={} type={} zone={} spot={} reason={}", machine.name,
               machine.machine_type, machine.zone, machine.spot, reason);
}

void WorkerRegistry::UpdateObservations(const jobs::JobTable& job_table) {
  failure_tracker_.Reconcile(job_table, machines_.size());
  for (const std::string& name : failure_tracker_.FaultyMachines()) {
    if (Machine* machine = Find(name)) RequestTermination(*machine, "repeated task failures");
  }
  for (auto& [name, machine] : machines_) {
    for (const auto& [task, reported] : machine.reported_tasks) {
      const jobs::Job* job = job_table.Find(task.job);
      const bool runs = reported.phase == model::TaskPhase::kRunning;
      if (job != nullptr && runs) RecordImage(machine, job->spec.image);
    }
    UpdateSlowness(machine, job_table);
  }
}

void WorkerRegistry::RecordImage(Machine& machine, const std::string& image) {
  if (image_index_.IsFullFor(image)) {
    // Discards all image data, which will be relearned, so that the index does not grow without
    // bound.
    image_index_.Clear();
    for (auto& [name, other] : machines_) other.images.clear();
  }
  const size_t number = image_index_.FindOrAdd(image);
  if (machine.images.size() <= number) machine.images.resize(number + 1);
  machine.images[number] = true;
}

bool WorkerRegistry::IsBootLate(const Machine& machine, const model::MachineType& type,
                                double now) const {
  return !machine.has_reported() && machine.cloud.booting &&
         now - machine.cloud.requested_at > boot_times_.LateThreshold(type.name, type.boot_s);
}

WorkerRegistry::BootingMachines WorkerRegistry::CountBooting(const model::MachineType& type,
                                                             double now) const {
  BootingMachines booting;
  for (const auto& [name, machine] : machines_) {
    if (machine.has_reported() || !machine.cloud.booting || machine.cloud.terminating) continue;
    if (machine.machine_type != type.name) continue;
    ++(IsBootLate(machine, type, now) ? booting.late : booting.on_time);
  }
  return booting;
}

double WorkerRegistry::LeaseExpiry(const Machine* machine) const {
  // Leases count from the last response that any leader may have sent: this one, or an earlier
  // leader that does not yet know that it has been replaced.
  double last_response = former_leader_deadline_;
  if (machine != nullptr) last_response = std::max(last_response, machine->agent.last_response);
  return last_response + options_.lease_s * (1 + kClockDrift) +
         options_.heartbeat_interval_s / kTimerSlackDivisor;
}

double WorkerRegistry::MissedHeartbeats(const Machine& machine, double now) const {
  // No heartbeats are expected from a booting machine.
  if (machine.cloud.booting) return 0;
  // A machine that is up finds a new leader within a few heartbeats. A machine that has not
  // reported yet may still send heartbeats to the earlier leader, as long as that leader may
  // respond.
  const double expected_since =
      machine.has_reported() ? term_start_ : std::max(term_start_, former_leader_deadline_);
  const double last_heard =
      std::max({machine.agent.last_heartbeat, expected_since, machine.cloud.up_since});
  return (now - last_heard) / options_.heartbeat_interval_s;
}

bool WorkerRegistry::IsSilent(const Machine& machine, double now) const {
  return MissedHeartbeats(machine, now) > options_.silent_ratio;
}

bool WorkerRegistry::AreResponsesLost(const Machine& machine, double now) const {
  return HasLostResponses(machine, options_.lease_s, now);
}

bool WorkerRegistry::AcceptsTasks(const Machine& machine, double now) const {
  if (!machine.has_reported() || machine.cloud.terminating || machine.HasSpotNotice()) return false;
  if (IsSlow(machine) || failure_tracker_.IsQuarantined(machine.name, now)) return false;
  if (IsCommandedByOther(machine)) return false;
  if (machine.responses.unacknowledged >= kMinUnacknowledgedToExclude) return false;
  // Only heartbeats renew the lease. A machine that responds to direct commands but whose
  // heartbeats reach no controller is about to lose all its tasks.
  const double heartbeat_age_s = now - machine.agent.last_heartbeat;
  return heartbeat_age_s < kMaxHeartbeatAge * options_.heartbeat_interval_s;
}

}  // namespace hallpier::fleet
