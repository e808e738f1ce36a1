// The worker machines of a cluster as a leader knows them: from their heartbeats, from the cloud's
// list, and from its own requests for scale out and in.
//
// This class takes in what machines and the cloud say, and answers whether a machine may get tasks,
// is silent, or may still run something. What is derived from it stands in modules of its own:
// reconciliation.h (commands to machines), task_outcomes.h and placement_proof.h (what has become
// of placements), autoscaler.h (scale out and in), machine_views.h (descriptions for controllers
// that receive no heartbeats).
//
// Owned by the leader's loop, or by a controller that applies the leader's machine views. Lives on
// the event loop's thread. Does no I/O; all times are passed in, in seconds of the steady clock.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/boot_times.h"
#include "fleet/failure_tracker.h"
#include "fleet/image_index.h"
#include "fleet/machine.h"
#include "fleet/stop_requests.h"
#include "jobs/job_table.h"
#include "model/cloud.h"
#include "model/heartbeat.h"
#include "model/ids.h"
#include "model/machine_type.h"

namespace hallpier::fleet {

class WorkerRegistry {
 public:
  struct Options {
    double heartbeat_interval_s = 0;
    double lease_s = 0;     // how long an agent lives after the last answered heartbeat was sent
    double list_lag_s = 0;  // how far the cloud's list may usually be behind
    // A machine is silent after this many heartbeat intervals without a heartbeat.
    double silent_ratio = 0;
    // Retries of jobs that fail on every machine, a second.
    double retries_per_s = 1;
    // Machines that the cloud terminates a second, at the most.
    double terminations_per_s = 0;
  };
  // A machine that was looked up, and added if it was unknown.
  struct FoundMachine {
    Machine& machine;
    bool is_new = false;
  };
  // Machines of a type that are requested or booting, and have not reported yet.
  struct BootingMachines {
    size_t late = 0;
    size_t on_time = 0;
  };

  explicit WorkerRegistry(Options options);

  // Starts a term of leadership: nothing that was learned under another token is proof any more.
  // `predecessors_until`: when the last answer that an earlier leader may give to a worker is
  // given.
  void BeginTerm(model::FencingToken token, double now, double predecessors_until);
  // Replaces our token by a higher one within the term.
  void SetToken(model::FencingToken token) { token_ = token; }
  model::FencingToken token() const { return token_; }
  model::FencingToken first_token_of_term() const { return first_token_of_term_; }

  // Takes in the status of a machine. `direct`: it came as the answer to a direct command, which
  // renews no lease and does not follow an answer of ours. A status that is not newer than the
  // known one is ignored. True if something changed that a planning round should look at.
  bool OnHeartbeat(const model::Heartbeat& report, double now, bool direct);
  // The answer to a heartbeat is about to be sent, with these commands: the agent's lease may be
  // renewed from here on.
  void OnResponseSent(const model::Heartbeat& report,
                      const std::vector<model::WorkerCommand>& commands, double now);
  // Takes in the complete list of the cloud, which was requested at `asked_at`. Machines that are
  // proven to have left the list are removed as terminated.
  void OnCloudList(const std::vector<model::CloudMachine>& listed, double asked_at, double now);
  // The cloud has granted machines with these names.
  void OnScaledOut(const std::vector<std::string>& names, const model::ScaleOutRequest& request,
                   double now);
  // The cloud has confirmed a termination: the machine and all that ran on it are gone.
  void OnTerminated(const std::string& machine_name);
  // Marks a machine to be terminated; it gets no work any more. No effect on one that is marked.
  void RequestTermination(Machine& machine, const std::string& reason);

  // Once a round: takes in what running and finished tasks show of images, slowness and failures.
  // Machines that fail tasks which succeed elsewhere are marked to be terminated.
  void UpdateObservations(const jobs::JobTable& job_table);

  // True if a machine may get new tasks now.
  bool AcceptsTasks(const Machine& machine, double now) const;
  // True if a machine that is up has not been heard for longer than `silent_ratio` allows.
  bool IsSilent(const Machine& machine, double now) const;
  // For how many heartbeat intervals nothing has been heard of a machine that is up; 0 or less for
  // one that boots.
  double MissedHeartbeats(const Machine& machine, double now) const;
  // True if a machine's heartbeats come, but show that our answers don't reach it.
  bool AreResponsesLost(const Machine& machine, double now) const;
  // True if a machine is not up although nearly all others of its type would be.
  bool IsBootLate(const Machine& machine, const model::MachineType& type, double now) const;
  // Counts the machines of a type that are yet to come up and are to be kept.
  BootingMachines CountBooting(const model::MachineType& type, double now) const;
  // When the lease of everything that was started on a machine up to now will have expired. Null: a
  // machine that this leader knows nothing of.
  double LeaseExpiry(const Machine* machine) const;
  // True if the machine was terminated in this term.
  bool IsConfirmedGone(const std::string& machine_name) const {
    return confirmed_gone_.contains(machine_name);
  }

  // By name, which is the order that plans go through them in.
  std::map<std::string, Machine>& machines() { return machines_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  // Null if unknown.
  Machine* Find(const std::string& name);
  const Machine* Find(const std::string& name) const;
  FoundMachine FindOrAdd(const std::string& name);
  // Forgets a machine without concluding anything from it.
  void Remove(const std::string& name);

  // Attempts that are to be stopped.
  StopRequests& stop_requests() { return stop_requests_; }
  const StopRequests& stop_requests() const { return stop_requests_; }
  // Which job or machine is to blame for failures, and when a job that fails everywhere is retried.
  FailureTracker& failure_tracker() { return failures_; }
  const FailureTracker& failure_tracker() const { return failures_; }
  const BootTimes& boot_times() const { return boot_times_; }
  // The numbers of images in Machine::images.
  const ImageIndex& image_index() const { return image_index_; }
  // Notes that a machine has an image.
  void NoteImage(Machine& machine, const std::string& image);

 private:
  // The steps of OnHeartbeat().
  void OnFirstStatus(Machine& machine, double now);
  void ObserveBootTime(const Machine& machine, const model::Heartbeat& report, double now);
  void UpdateTasks(Machine& machine, const model::Heartbeat& report, double now);
  void CountFailure(const Machine& machine, const model::TaskStatus& status, double now);
  // The steps of OnCloudList().
  void UpdateFromList(const model::CloudMachine& listed, double now);
  bool HasLeftList(const Machine& machine, double asked_at) const;

  const Options options_;
  model::FencingToken token_;
  model::FencingToken first_token_of_term_;
  double term_start_ = 0;
  double predecessors_until_ = 0;
  std::map<std::string, Machine> machines_;
  std::unordered_map<std::string, Machine*> index_;  // for the many look-ups by name
  StopRequests stop_requests_;
  const size_t max_confirmed_gone_;
  std::set<std::string> confirmed_gone_;  // terminations of this term
  FailureTracker failures_;
  BootTimes boot_times_;
  ImageIndex image_index_;
};

}  // namespace hallpier::fleet
