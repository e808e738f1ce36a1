#include "fleet/failure_tracker.h"

#include <algorithm>
#include <limits>

namespace hallpier::fleet {
namespace {

// A job is suspected only if it has failed on this many machines, or on all if there are fewer.
constexpr size_t kMinMachinesForSuspicion = 3;
// A machine is quarantined if this many jobs that are not suspected have failed on it.
constexpr size_t kMinJobsForQuarantine = 2;
// A machine is faulty after this many failures of jobs that have succeeded elsewhere.
constexpr int kMinFailuresForFaulty = 2;
constexpr double kBackoffFactor = 2;
// Maximum retries in a burst after a period without retries.
constexpr double kRetryBurst = 4;

}  // namespace

void FailureTracker::OnSuccess(const std::string& job, const std::string& machine) {
  machines_.erase(machine);
  JobHistory& history = jobs_[job];
  history.succeeded_on.insert(machine);
  history.failed_on.erase(machine);
  history.succeeded = true;
  history.suspected = false;
  history.backoff_s = 0;
  history.earliest_retry = 0;
}

void FailureTracker::OnFailure(const std::string& job, const std::string& machine, double now) {
  JobHistory& history = jobs_[job];
  history.failed_on.insert(machine);
  history.backoff_s = std::max(history.backoff_s, options_.initial_backoff_s);
  history.earliest_retry = std::max(history.earliest_retry, now + history.backoff_s);
  MachineHistory& machine_history = machines_[machine];
  ++machine_history.failures[job];
  machine_history.last_failure = now;
}

void FailureTracker::OnRetry(const std::string& job, double now) {
  JobHistory& history = jobs_[job];
  history.backoff_s = std::clamp(kBackoffFactor * history.backoff_s, options_.initial_backoff_s,
                                 options_.max_backoff_s);
  history.earliest_retry = now + history.backoff_s;
  const double interval = 1 / options_.retries_per_s;
  next_retry_at_ = std::max(next_retry_at_, now - (kRetryBurst - 1) * interval) + interval;
}

void FailureTracker::ForgetMachine(const std::string& machine) { machines_.erase(machine); }

void FailureTracker::UpdateSuspicion(const jobs::Job& job, size_t machine_count,
                                     JobHistory& history) {
  if (job.done() > 0) history.succeeded = true;
  std::set<std::string> not_failed_on;
  for (const auto& [number, task_group] : job.task_groups()) {
    for (const auto& [index, task] : task_group.open) {
      if (!task.machine.empty() && !history.failed_on.contains(task.machine)) {
        not_failed_on.insert(task.machine);
      }
    }
  }
  // A sound job whose first tasks ran on many machines, a few of them faulty, is not suspected: it
  // has not failed on most of its machines.
  const size_t failed = history.failed_on.size();
  history.suspected = !history.succeeded &&
                      failed >= std::min(kMinMachinesForSuspicion, machine_count) &&
                      failed >= not_failed_on.size();
}

void FailureTracker::Reconcile(const jobs::JobTable& job_table, size_t machine_count) {
  std::erase_if(jobs_, [&](const auto& entry) { return job_table.Find(entry.first) == nullptr; });
  for (auto& [id, history] : jobs_) {
    if (!history.failed_on.empty()) UpdateSuspicion(*job_table.Find(id), machine_count, history);
  }
  // Failures of jobs that have ended are discarded: whether such a job was sound stays unknown.
  for (auto& [name, machine] : machines_) {
    std::erase_if(machine.failures,
                  [&](const auto& failure) { return !jobs_.contains(failure.first); });
  }
  std::erase_if(machines_, [](const auto& entry) { return entry.second.failures.empty(); });
}

bool FailureTracker::HasSucceededElsewhere(const std::string& job,
                                           const std::string& except_machine) const {
  auto entry = jobs_.find(job);
  if (entry == jobs_.end() || !entry->second.succeeded) return false;
  const std::set<std::string>& succeeded_on = entry->second.succeeded_on;
  // Only the records show the success, so the machine is unknown and counts as another one.
  if (succeeded_on.empty()) return true;
  return succeeded_on.size() > 1 || !succeeded_on.contains(except_machine);
}

std::vector<model::JobFailures> FailureTracker::DescribeFailures(
    const std::set<std::string>& retried) const {
  std::vector<model::JobFailures> view;
  for (const auto& [id, history] : jobs_) {
    if (!history.suspected && history.failed_on.empty()) continue;
    view.push_back({id,
                    history.suspected,
                    retried.contains(id),
                    {history.failed_on.begin(), history.failed_on.end()}});
  }
  return view;
}

void FailureTracker::ApplyFailures(const std::vector<model::JobFailures>& failures, double now) {
  jobs_.clear();
  for (const model::JobFailures& job : failures) {
    JobHistory& history = jobs_[job.job];
    history.failed_on.insert(job.failed_on.begin(), job.failed_on.end());
    history.suspected = job.suspected;
    history.earliest_retry = job.retry_allowed ? now : std::numeric_limits<double>::infinity();
  }
  // The leader limits the rate of retries: each one that it grants may start immediately.
  next_retry_at_ = now - kRetryBurst / options_.retries_per_s;
}

std::vector<std::string> FailureTracker::FaultyMachines() const {
  std::vector<std::string> faulty;
  for (const auto& [name, machine] : machines_) {
    int failures = 0;
    for (const auto& [job, count] : machine.failures) {
      if (HasSucceededElsewhere(job, name)) failures += count;
    }
    if (failures >= kMinFailuresForFaulty) faulty.push_back(name);
  }
  return faulty;
}

bool FailureTracker::IsQuarantined(const std::string& machine, double now) const {
  auto entry = machines_.find(machine);
  if (entry == machines_.end() || now >= entry->second.last_failure + options_.quarantine_s)
    return false;
  const auto& failures = entry->second.failures;
  const auto sound_jobs = std::count_if(failures.begin(), failures.end(), [&](const auto& failure) {
    return !IsSuspected(failure.first);
  });
  return static_cast<size_t>(sound_jobs) >= kMinJobsForQuarantine;
}

bool FailureTracker::IsSuspected(const std::string& job) const {
  auto entry = jobs_.find(job);
  return entry != jobs_.end() && entry->second.suspected;
}

bool FailureTracker::IsRetryDue(const std::string& job, double now) const {
  auto entry = jobs_.find(job);
  return entry == jobs_.end() || now >= entry->second.earliest_retry;
}

size_t FailureTracker::AvailableRetries(double now) const {
  const double interval = 1 / options_.retries_per_s;
  const double available = (now - next_retry_at_) / interval + 1;
  return static_cast<size_t>(std::clamp(available, 0.0, kRetryBurst));
}

const std::set<std::string>* FailureTracker::FailedOn(const std::string& job) const {
  auto entry = jobs_.find(job);
  return entry == jobs_.end() || entry->second.failed_on.empty() ? nullptr
                                                                 : &entry->second.failed_on;
}

}  // namespace hallpier::fleet
