// Attributes failed tasks to their job or to their machine, and paces the retries of jobs that fail
// wherever they run. Does no I/O and takes the time as an argument.
//
// Evidence: a job that has succeeded somewhere is sound, so that its failures are its machine's. A
// job that has never succeeded and fails on most machines that it was started on is suspected
// itself. Until one of the two is known, a machine on which several such jobs failed is suspended
// rather than replaced.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_table.h"
#include "model/machine_view.h"
#include "wire/peer_messages.h"

namespace hallpier::fleet {

class FailureTracker {
 public:
  struct Options {
    // Delay before the first retry of a suspected job; each further retry doubles it...
    double initial_backoff_s = 0;
    // ...up to this bound.
    double max_backoff_s = 0;
    // A machine is suspended for this long after the last failure that speaks against it.
    double quarantine_s = 0;
    // Retries of all suspected jobs together, a second.
    double retries_per_s = 0;
  };
  explicit FailureTracker(const Options& options) : options_(options) {}

  // A task of the job has completed, or failed, on the machine.
  void OnSuccess(const std::string& job, const std::string& machine);
  void OnFailure(const std::string& job, const std::string& machine, double now);
  // A retry of a suspected job was decided on.
  void OnRetry(const std::string& job, double now);
  void ForgetMachine(const std::string& machine);
  // Takes in what the records say: jobs that have ended, that have succeeded, and where the others
  // were started. `machines`: how many machines there are.
  void Reconcile(const jobs::JobTable& job_table, size_t machines);

  // All jobs with failures, for a node that plans without hearing workers. A retry is due for those
  // in `retried`: its holder starts one task more.
  std::vector<model::JobFailures> View(const std::set<std::string>& retried) const;
  // On such a node: takes the place of all that was known.
  void ApplyView(const std::vector<model::JobFailures>& failures, double now);

  // Machines that fail tasks of jobs which succeed elsewhere.
  std::vector<std::string> FaultyMachines() const;
  // True if a machine may be faulty: it gets nothing new until that is known.
  bool IsQuarantined(const std::string& machine, double now) const;
  // True if a job fails because of itself, as far as is known.
  bool Suspected(const std::string& job) const;
  // True if one more task of a job that failed everywhere may be started.
  bool RetryDue(const std::string& job, double now) const;
  // How many such retries all jobs together may start now.
  size_t RetryBudget(double now) const;
  // Machines on which a task of the job failed; null: none.
  const std::set<std::string>* FailedOn(const std::string& job) const;

 private:
  struct JobHistory {
    std::set<std::string> failed_on;
    std::set<std::string> succeeded_on;
    bool succeeded = false;  // on a machine of this term, or by its records
    bool suspected = false;
    double backoff_s = 0;
    double not_before = 0;
  };
  struct MachineHistory {
    std::map<std::string, int> failures;  // by job, since the last success here
    double last_failure = 0;
  };

  bool Sound(const std::string& job, const std::string& except_on) const;
  void UpdateSuspicion(const jobs::Job& job, size_t machines, JobHistory* history) const;

  const Options options_;
  std::map<std::string, JobHistory> jobs_;
  std::map<std::string, MachineHistory> machines_;
  double next_retry_at_ = 0;
};

}  // namespace hallpier::fleet
