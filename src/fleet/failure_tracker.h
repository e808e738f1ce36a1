// Attributes failed tasks to their job or to their machine, and paces the retries of jobs that fail
// wherever they run.
//
// Evidence: a job that has succeeded on some machine is sound, so that its failures are blamed on
// the machines where they happened. A job that has never succeeded, and has failed on most machines
// that it was started on, is suspected itself. Until one of the two is known, a machine on which
// several such jobs have failed is quarantined rather than replaced.
//
// Owned by WorkerRegistry; lives on the event loop's thread. Does no I/O and takes the time as an
// argument, in seconds of the steady clock.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_table.h"
#include "model/machine_view.h"

namespace hallpier::fleet {

class FailureTracker {
 public:
  struct Options {
    // Delay before the first retry of a suspected job; each further retry doubles it...
    double initial_backoff_s = 0;
    // ...up to this bound.
    double max_backoff_s = 0;
    // A machine is quarantined for this long after its last failure.
    double quarantine_s = 0;
    // Retries of all suspected jobs together, a second.
    double retries_per_s = 0;
  };
  explicit FailureTracker(const Options& options) : options_(options) {}

  // A task of the job has completed on the machine: neither is to blame any more.
  void OnSuccess(const std::string& job, const std::string& machine);
  // A task of the job has failed on the machine.
  void OnFailure(const std::string& job, const std::string& machine, double now);
  // The round starts one more task of a suspected job.
  void OnRetry(const std::string& job, double now);
  // The machine is gone: its failures count no more.
  void ForgetMachine(const std::string& machine);
  // Compares with the records: forgets jobs that have ended, and decides from the machines that the
  // others are placed on whether they are suspected. `machine_count`: of the whole cluster.
  void Reconcile(const jobs::JobTable& job_table, size_t machine_count);

  // Describes all jobs with failures for a controller that plans without receiving heartbeats.
  // `retried`: jobs of which the holder of their shard is to start one more task now.
  std::vector<model::JobFailures> DescribeFailures(const std::set<std::string>& retried) const;
  // On such a controller: replaces all that was known by the leader's description.
  void ApplyFailures(const std::vector<model::JobFailures>& failures, double now);

  // Machines that fail tasks of jobs which succeed elsewhere, by name.
  std::vector<std::string> FaultyMachines() const;
  // True if a machine may be faulty: it gets no new tasks until that is known.
  bool IsQuarantined(const std::string& machine, double now) const;
  // True if a job seems to fail because of itself, wherever it runs.
  bool IsSuspected(const std::string& job) const;
  // True if the backoff of a suspected job allows one more task to be started.
  bool IsRetryDue(const std::string& job, double now) const;
  // How many retries all suspected jobs together may start now.
  size_t AvailableRetries(double now) const;
  // Machines on which a task of the job has failed, and none succeeded since; null: none.
  const std::set<std::string>* FailedOn(const std::string& job) const;

 private:
  struct JobHistory {
    std::set<std::string> failed_on;
    std::set<std::string> succeeded_on;
    bool succeeded = false;  // on some machine, as it was reported or recorded
    bool suspected = false;
    double backoff_s = 0;
    double retry_not_before = 0;
  };
  struct MachineHistory {
    std::map<std::string, int> failures;  // by job, since the last success on the machine
    double last_failure = 0;
  };

  // True if the job has succeeded on another machine than `except_machine`.
  bool HasSucceededElsewhere(const std::string& job, const std::string& except_machine) const;
  static void UpdateSuspicion(const jobs::Job& job, size_t machine_count, JobHistory& history);

  const Options options_;
  std::map<std::string, JobHistory> jobs_;
  std::map<std::string, MachineHistory> machines_;
  double next_retry_at_ = 0;
};

}  // namespace hallpier::fleet
