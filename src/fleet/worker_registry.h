// The leader's registry of the worker machines of a cluster, built from their heartbeats, from the
// cloud's list of machines, and from the leader's scale-out and scale-in requests.
//
// The registry stores reports from machines and from the cloud. It decides whether a machine may
// get tasks, is silent, or may still run something. Separate modules derive further results from
// it: reconciliation.h (commands to machines), task_outcomes.h and placement_proof.h (outcomes of
// placements), autoscaler.h (scale out and in), machine_views.h (views for controllers that receive
// no heartbeats).
//
// Owned by the leader's loop, or by a controller that applies the leader's machine views. Used on
// the event loop's thread. Does no I/O; all times are passed in, in seconds of the steady clock.
#pragma once

#include <algorithm>
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
    // Lease duration, counted from when the agent sent the last answered heartbeat.
    double lease_s = 0;
    double list_lag_s = 0;  // usual maximum lag of the cloud's list
    // A machine counts as silent after this many heartbeat intervals without a heartbeat.
    double silent_ratio = 0;
    // Maximum retries per second of jobs that fail on every machine.
    double retries_per_s = 1;
    // Maximum number of machines that the cloud terminates per second.
    double terminations_per_s = 0;
  };
  // Result of FindOrAdd().
  struct FoundMachine {
    Machine& machine;
    bool is_new = false;
  };
  // Numbers of machines of a type that are requested or booting and have not reported yet.
  struct BootingMachines {
    size_t late = 0;
    size_t on_time = 0;
  };

  explicit WorkerRegistry(Options options);

  // Starts a term of leadership: no observation made under another token counts as proof any more.
  // `former_leader_deadline`: time after which no earlier leader responds to workers.
  void BeginTerm(model::FencingToken token, double now, double former_leader_deadline);
  // Replaces the leader's token by a higher one within the term.
  void SetToken(model::FencingToken token);
  // Called when this leader has committed a transaction under the precondition that its token is
  // unchanged. Commands to single machines may use the transaction's revision as their token.
  void OnCommitted(uint64_t revision);
  model::FencingToken token() const { return token_; }
  model::FencingToken first_token_of_term() const { return first_token_of_term_; }
  // The highest token that this leader may use. An agent that has seen a higher one is commanded by
  // another leader.
  model::FencingToken highest_token() const { return highest_token_; }
  // Returns the token of the next command or response to a machine.
  model::FencingToken CommandToken(const Machine& machine) const {
    return std::max(token_, machine.command_token);
  }
  // True if the machine's agent has seen the leader's token, or a higher one of this leader.
  bool HasSeenToken(const Machine& machine) const {
    return token_.is_set() && machine.agent.token >= token_ && !IsCommandedByOther(machine);
  }
  // True if the machine's agent has seen the token of another leader that came later.
  bool IsCommandedByOther(const Machine& machine) const {
    return machine.agent.token > highest_token_;
  }

  // Processes a status report. `direct`: the report is the response to a direct command, which
  // renews no lease and acknowledges no heartbeat response. A report that is not newer than the
  // known one is ignored. Returns true if a change is relevant for planning and should trigger a
  // round.
  bool OnHeartbeat(const model::Heartbeat& report, double now, bool direct);
  // Records that the response to a heartbeat is about to be sent with these commands. From now on
  // the agent's lease may be renewed.
  void OnResponseSent(const model::Heartbeat& report,
                      const std::vector<model::WorkerCommand>& commands, double now);
  // Processes a complete list of the cloud's machines that was requested at `list_requested_at`.
  // Machines that are proven to have left the list are removed as terminated.
  void OnCloudList(const std::vector<model::CloudMachine>& listed, double list_requested_at,
                   double now);
  // Adds the machines that the cloud has granted for a scale-out request.
  void OnScaledOut(const std::vector<std::string>& names, const model::ScaleOutRequest& request,
                   double now);
  // Removes a machine whose termination the cloud has confirmed. Everything that ran on it is gone.
  void OnTerminated(const std::string& machine_name);
  // Marks a machine for termination, so that it gets no new tasks. No effect if it is marked
  // already.
  void RequestTermination(Machine& machine, const std::string& reason);

  // Updates images, slowness estimates and failure statistics from the reported tasks. Marks
  // machines for termination that fail tasks of jobs which succeed on other machines. Called once
  // per round.
  void UpdateObservations(const jobs::JobTable& job_table);

  // True if a machine may get new tasks at time `now`.
  bool AcceptsTasks(const Machine& machine, double now) const;
  // True if a machine that is up has missed more heartbeats than `silent_ratio` allows.
  bool IsSilent(const Machine& machine, double now) const;
  // Returns the number of heartbeat intervals since the last heartbeat of a machine that is up, or
  // since the first one is expected if that is later. Negative if none is expected yet; 0 while the
  // machine boots.
  double MissedHeartbeats(const Machine& machine, double now) const;
  // True if a machine sends heartbeats that show that our responses don't reach it.
  bool AreResponsesLost(const Machine& machine, double now) const;
  // True if a machine is still booting after the time in which nearly all others of its type boot.
  bool IsBootLate(const Machine& machine, const model::MachineType& type, double now) const;
  // Counts the booting machines of a type, except those marked for termination.
  BootingMachines CountBooting(const model::MachineType& type, double now) const;
  // Returns the time by which the lease of everything started on a machine so far will have
  // expired. `machine`: null for a machine that is unknown to this leader.
  double LeaseExpiry(const Machine* machine) const;
  // True if the machine's termination was confirmed in this term.
  bool IsTerminationConfirmed(const std::string& machine_name) const {
    return confirmed_terminations_.contains(machine_name);
  }

  // All machines by name. Plans iterate over them in this order.
  std::map<std::string, Machine>& machines() { return machines_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  // Returns null if the machine is unknown.
  Machine* Find(const std::string& name);
  const Machine* Find(const std::string& name) const;
  FoundMachine FindOrAdd(const std::string& name);
  // Removes a machine without treating it as terminated.
  void Remove(const std::string& name);

  // Attempts that must be stopped.
  StopRequests& stop_requests() { return stop_requests_; }
  const StopRequests& stop_requests() const { return stop_requests_; }
  // Attributes failures to jobs or machines and paces the retries of jobs that fail everywhere.
  FailureTracker& failure_tracker() { return failure_tracker_; }
  const FailureTracker& failure_tracker() const { return failure_tracker_; }
  const BootTimes& boot_times() const { return boot_times_; }
  // The numbers of images in Machine::images.
  const ImageIndex& image_index() const { return image_index_; }
  // Records that a machine has an image.
  void RecordImage(Machine& machine, const std::string& image);

 private:
  // Steps of OnHeartbeat().
  void OnFirstStatus(Machine& machine, double now);
  void ObserveBootTime(const Machine& machine, const model::Heartbeat& report, double now);
  void UpdateTasks(Machine& machine, const model::Heartbeat& report, double now);
  void RecordExit(const Machine& machine, const model::TaskStatus& status, double now);
  // Steps of OnCloudList().
  void UpdateFromList(const model::CloudMachine& listed, double now);
  bool HasLeftList(const Machine& machine, double list_requested_at) const;

  const Options options_;
  model::FencingToken token_;
  model::FencingToken highest_token_;
  model::FencingToken first_token_of_term_;
  double term_start_ = 0;
  double former_leader_deadline_ = 0;
  std::map<std::string, Machine> machines_;
  std::unordered_map<std::string, Machine*> index_;  // hash index for frequent look-ups by name
  StopRequests stop_requests_;
  const size_t max_confirmed_terminations_;
  std::set<std::string> confirmed_terminations_;  // in this term
  FailureTracker failure_tracker_;
  BootTimes boot_times_;
  ImageIndex image_index_;
};

}  // namespace hallpier::fleet
