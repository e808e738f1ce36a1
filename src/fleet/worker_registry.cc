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

// Steady clocks may differ by this part; a part of a heartbeat interval covers the rest (clock
// steps, late timers).
constexpr double kClockDrift = 0.001;
constexpr double kTimerSlackDivisor = 3;
// Terminated machines are remembered, so that late lists and heartbeats don't bring them back: at
// least so many...
constexpr size_t kMinConfirmedGone = 5000;
// ...and all that can be terminated while a list may still name them or a heartbeat of theirs may
// be under way. A list is behind by up to this many times the usual lag.
constexpr double kMaxListLags = 2;
// A machine gets new tasks up to this many heartbeat intervals after its last heartbeat.
constexpr double kMaxHeartbeatAge = 1.8;

FailureTracker::Options FailureOptions(const WorkerRegistry::Options& options) {
  return {.initial_backoff_s = options.heartbeat_interval_s,
          .max_backoff_s = options.lease_s,
          .quarantine_s = options.lease_s,
          .retries_per_s = options.retries_per_s};
}

size_t MaxConfirmedGone(const WorkerRegistry::Options& options) {
  const double remembered_s = kMaxListLags * options.list_lag_s + options.lease_s;
  return std::max(kMinConfirmedGone,
                  static_cast<size_t>(options.terminations_per_s * remembered_s));
}

// Heartbeats may be delayed for minutes: one that is not newer proves nothing.
bool IsNewer(const model::Heartbeat& report, const Machine& machine) {
  if (!machine.has_reported()) return true;
  if (report.agent_epoch != machine.agent.epoch) return report.agent_epoch > machine.agent.epoch;
  return report.sequence > machine.agent.sequence;
}

// True if the agent, its epoch or the token that it has seen is new to us.
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
    // The new epoch has a lease of its own, which no answer has renewed: it began by now. What a
    // direct command starts in it may live for as long as that.
    agent.last_answer = std::max(agent.last_answer, now);
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

// The last report of an attempt; null if it was not reported before.
const ReportedTask* FindAttempt(const ReportedTasks& tasks, const model::TaskStatus& status) {
  auto entry = tasks.find(status.task);
  if (entry == tasks.end() || entry->second.attempt != status.attempt) return nullptr;
  return &entry->second;
}

bool IsUnchanged(const ReportedTask* previous, const model::TaskStatus& status) {
  return previous != nullptr && previous->state == status.state && previous->cause == status.cause;
}

// A task in a state that was not reported before. `previous`: the attempt's last report, or null.
ReportedTask DescribeNewState(const model::TaskStatus& status, const ReportedTask* previous,
                              bool start_was_sent, double now) {
  ReportedTask reported;
  reported.attempt = status.attempt;
  reported.state = status.state;
  reported.cause = status.cause;
  reported.since = now;
  if (status.state == model::TaskPhase::kRunning) {
    reported.start_observed = previous != nullptr || start_was_sent;
  }
  if (status.state == model::TaskPhase::kExited && previous != nullptr &&
      previous->state == model::TaskPhase::kRunning && previous->start_observed) {
    reported.run_s = now - previous->since;
  }
  return reported;
}

bool HaveTasksChanged(const ReportedTasks& before, const ReportedTasks& after) {
  if (before.size() != after.size()) return true;
  return std::any_of(after.begin(), after.end(), [&](const auto& entry) {
    const auto& [task, reported] = entry;
    auto old = before.find(task);
    return old == before.end() || old->second.state != reported.state ||
           old->second.attempt != reported.attempt;
  });
}

}  // namespace

WorkerRegistry::WorkerRegistry(Options options)
    : options_(options),
      max_confirmed_gone_(MaxConfirmedGone(options)),
      failures_(FailureOptions(options)) {}

void WorkerRegistry::BeginTerm(model::FencingToken token, double now, double predecessors_until) {
  token_ = token;
  first_token_of_term_ = token;
  term_start_ = now;
  predecessors_until_ = predecessors_until;
  confirmed_gone_.clear();
  for (auto& [name, machine] : machines_) {
    machine.sent_starts.clear();
    // What ran in an earlier term of ours was observed by other leaders since: how long it has
    // taken is not known here, and machines that are well would be taken for slow.
    for (auto& [task, reported] : machine.reported_tasks) reported.start_observed = false;
  }
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
    machine.answers.unacknowledged = 0;  // direct commands do reach it
  } else {
    CheckAcknowledgement(machine, report, token_, options_.lease_s, now);
  }
  // How long a machine took to boot that neither a request nor a list has named is not known.
  if (!found.is_new) ObserveBootTime(machine, report, now);
  const bool agent_changed = IsAgentChanged(report, machine);
  UpdateIdentity(machine, report);
  UpdateAgent(machine.agent, report, now, direct);
  machine.cloud.booting = false;
  const bool notice_changed = UpdateSpotNotice(machine, report, now);
  const ReportedTasks before = machine.reported_tasks;
  UpdateTasks(machine, report, now);
  return agent_changed || notice_changed || HaveTasksChanged(before, machine.reported_tasks);
}

void WorkerRegistry::OnFirstStatus(Machine& machine, double now) {
  machine.cloud.requested_at = now;
  machine.cloud.idle_since = now;
  // A late heartbeat, or a machine that a late scale-out request brought back: terminate it again.
  if (IsConfirmedGone(machine.name)) RequestTermination(machine, "reports after it was gone");
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
      CountFailure(machine, status, now);
      const bool start_was_sent = machine.sent_starts.contains(status.task);
      reported = DescribeNewState(status, previous, start_was_sent, now);
    }
    // One worker may have several attempts of a task; the newest is the one that matters.
    auto [entry, is_new] = updated.emplace(status.task, reported);
    if (!is_new && entry->second.attempt < reported.attempt) entry->second = reported;
  }
  machine.reported_tasks = std::move(updated);
}

void WorkerRegistry::CountFailure(const Machine& machine, const model::TaskStatus& status,
                                  double now) {
  // A task may fail before any heartbeat has shown it alive: that counts like any other failure.
  if (status.state != model::TaskPhase::kExited) return;
  if (status.cause == model::ExitCause::kDone) {
    failures_.OnSuccess(status.task.job, machine.name);
  }
  if (status.cause == model::ExitCause::kError) {
    failures_.OnFailure(status.task.job, machine.name, now);
  }
}

void WorkerRegistry::OnResponseSent(const model::Heartbeat& report,
                                    const std::vector<model::WorkerCommand>& commands, double now) {
  Machine* machine = Find(report.machine);
  if (machine == nullptr) return;
  AgentState& agent = machine->agent;
  if (!machine->IsNewestStatus(report)) {
    // An agent's lease counts from when the answered heartbeat was sent. This one was sent before
    // the newest status, which was here by then: late copies renew no lease beyond that.
    agent.last_answer = std::max(agent.last_answer, agent.last_status);
    return;
  }
  agent.last_answer = now;
  ExpectAcknowledgement(*machine, commands, token_);
}

void WorkerRegistry::OnCloudList(const std::vector<model::CloudMachine>& listed, double asked_at,
                                 double now) {
  std::unordered_set<std::string> listed_names;
  listed_names.reserve(listed.size());
  for (const model::CloudMachine& machine : listed) {
    // The list lags behind the confirmation of a termination.
    if (IsConfirmedGone(machine.machine)) continue;
    listed_names.insert(machine.machine);
    UpdateFromList(machine, now);
  }
  std::vector<std::string> left;
  for (const auto& [name, machine] : machines_) {
    if (!listed_names.contains(name) && HasLeftList(machine, asked_at)) left.push_back(name);
  }
  for (const std::string& name : left) {
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
    RequestTermination(machine, "failed by itself");
  }
}

bool WorkerRegistry::HasLeftList(const Machine& machine, double asked_at) const {
  // A list may be older than the one before it, but not by more than the longest lag: a machine
  // that was listed earlier than that and is missing now is gone.
  const double settled_after_s =
      kMaxListLags * options_.list_lag_s + options_.heartbeat_interval_s / kTimerSlackDivisor;
  return machine.cloud.listed && asked_at - machine.cloud.first_listed > settled_after_s;
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
  failures_.ForgetMachine(machine_name);
  confirmed_gone_.insert(machine_name);
  // Names grow with time: the first in order are the least likely to be heard of again.
  if (confirmed_gone_.size() > max_confirmed_gone_) confirmed_gone_.erase(confirmed_gone_.begin());
  // Last, as the name may be a part of the machine.
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
  failures_.Reconcile(job_table, machines_.size());
  for (const std::string& name : failures_.FaultyMachines()) {
    if (Machine* machine = Find(name)) RequestTermination(*machine, "fails the tasks it starts");
  }
  for (auto& [name, machine] : machines_) {
    for (const auto& [task, reported] : machine.reported_tasks) {
      const jobs::Job* job = job_table.Find(task.job);
      const bool runs = reported.state == model::TaskPhase::kRunning;
      if (job != nullptr && runs) NoteImage(machine, job->spec.image);
    }
    UpdateSlowness(machine, job_table);
  }
}

void WorkerRegistry::NoteImage(Machine& machine, const std::string& image) {
  if (image_index_.IsFullFor(image)) {
    // Better to know nothing for a while than to keep every image there ever was.
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
  // Counted from the last answer that anybody could have given: an earlier leader, which may not
  // know yet that another has taken the lead, or we ourselves.
  double last_answer = predecessors_until_;
  if (machine != nullptr) last_answer = std::max(last_answer, machine->agent.last_answer);
  return last_answer + options_.lease_s * (1 + kClockDrift) +
         options_.heartbeat_interval_s / kTimerSlackDivisor;
}

double WorkerRegistry::MissedHeartbeats(const Machine& machine, double now) const {
  // A machine that boots is not expected to be heard.
  if (machine.cloud.booting) return 0;
  // One that is up finds the leader within a few heartbeats. One that has not found us yet may be
  // with the earlier leader, for as long as that one may answer.
  const double expected_since =
      machine.has_reported() ? term_start_ : std::max(term_start_, predecessors_until_);
  const double last_heard =
      std::max({machine.agent.last_heartbeat, expected_since, machine.cloud.up_since});
  return (now - last_heard) / options_.heartbeat_interval_s;
}

bool WorkerRegistry::IsSilent(const Machine& machine, double now) const {
  return MissedHeartbeats(machine, now) > options_.silent_ratio;
}

bool WorkerRegistry::AreResponsesLost(const Machine& machine, double now) const {
  return AreAnswersLost(machine, options_.lease_s, now);
}

bool WorkerRegistry::AcceptsTasks(const Machine& machine, double now) const {
  if (!machine.has_reported() || machine.cloud.terminating || machine.HasSpotNotice()) return false;
  if (IsSlow(machine) || failures_.IsQuarantined(machine.name, now)) return false;
  // Another leader commands it.
  if (machine.agent.token > token_) return false;
  if (machine.answers.unacknowledged >= kMinUnacknowledgedToBarTasks) return false;
  // Only heartbeats renew its lease: a machine that answers direct commands, but reaches no
  // controller, is about to lose all that it runs.
  const double heartbeat_age_s = now - machine.agent.last_heartbeat;
  return heartbeat_age_s < kMaxHeartbeatAge * options_.heartbeat_interval_s;
}

}  // namespace hallpier::fleet
