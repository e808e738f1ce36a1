// Attributes task failures either to the job or to the machine, and limits the rate at which jobs
// that fail everywhere are retried.
//
// A job that has succeeded on some machine is sound, and its failures are attributed to the
// machines where they occurred. A job that has never succeeded, and has failed on most machines
// where it was started, is suspected of being the cause. While neither is established, a machine on
// which several such jobs have failed is quarantined but not replaced.
//
// Owned by WorkerRegistry; used on the event loop's thread. Does no I/O. Times are passed in, in
// seconds of the steady clock.
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
    // Delay before the first retry of a suspected job. Each further retry doubles it.
    double initial_backoff_s = 0;
    // Upper bound of the delay.
    double max_backoff_s = 0;
    // Duration of a machine's quarantine, counted from its last failure.
    double quarantine_s = 0;
    // Maximum retries per second of all suspected jobs together.
    double retries_per_s = 0;
  };
  explicit FailureTracker(const Options& options) : options_(options) {}

  // Records that a task of the job completed on the machine, which clears both of suspicion.
  void OnSuccess(const std::string& job, const std::string& machine);
  // Records that a task of the job failed on the machine.
  void OnFailure(const std::string& job, const std::string& machine, double now);
  // Records that a round starts one more task of a suspected job.
  void OnRetry(const std::string& job, double now);
  // Discards the failures of a machine that is gone.
  void ForgetMachine(const std::string& machine);
  // Updates the histories from the job table: discards jobs that have ended, and decides whether
  // the others are suspected, based on the machines where they are placed. `machine_count`: number
  // of machines in the cluster.
  void Reconcile(const jobs::JobTable& job_table, size_t machine_count);

  // Returns the failures of all jobs, for a controller that plans without receiving heartbeats.
  // `retried`: jobs of which that controller, as the owner of a block, may start one more task now.
  std::vector<model::JobFailures> DescribeFailures(const std::set<std::string>& retried) const;
  // On such a controller: replaces all job histories by the leader's description.
  void ApplyFailures(const std::vector<model::JobFailures>& failures, double now);

  // Returns the names of machines that fail tasks of jobs which succeed on other machines.
  std::vector<std::string> FaultyMachines() const;
  // True if a machine may be faulty and gets no new tasks until the cause of its failures is known.
  bool IsQuarantined(const std::string& machine, double now) const;
  // True if a job itself is probably the cause of its failures.
  bool IsSuspected(const std::string& job) const;
  // True if the job's backoff has elapsed and one more task may be started.
  bool IsRetryDue(const std::string& job, double now) const;
  // Returns how many retries all suspected jobs together may start now.
  size_t AvailableRetries(double now) const;
  // Returns the machines where a task of the job has failed and none has succeeded since; null if
  // there are none.
  const std::set<std::string>* FailedOn(const std::string& job) const;

 private:
  struct JobHistory {
    std::set<std::string> failed_on;
    std::set<std::string> succeeded_on;
    bool succeeded = false;  // on any machine, according to a report or to the records
    bool suspected = false;
    double backoff_s = 0;
    double earliest_retry = 0;
  };
  struct MachineHistory {
    std::map<std::string, int> failures;  // count by job since the last success on the machine
    double last_failure = 0;
  };

  // True if the job has succeeded on a machine other than `except_machine`.
  bool HasSucceededElsewhere(const std::string& job, const std::string& except_machine) const;
  static void UpdateSuspicion(const jobs::Job& job, size_t machine_count, JobHistory& history);

  const Options options_;
  std::map<std::string, JobHistory> jobs_;
  std::map<std::string, MachineHistory> machines_;
  double next_retry_at_ = 0;
};

}  // namespace hallpier::fleet
