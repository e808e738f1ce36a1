// Plain structs with the state that a leader keeps for each worker machine, grouped by the source
// of the data.
//
// WorkerRegistry owns the machines. Only the registry and the modules that operate on it
// (reconciliation, response acknowledgement, slowness estimate, machine views) modify them. Used on
// the event loop's thread. Times are seconds of the steady clock unless noted otherwise.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "model/heartbeat.h"
#include "model/ids.h"
#include "model/task.h"

namespace hallpier::fleet {

// The last state that a worker reported for a task.
struct ReportedTask {
  uint64_t attempt = 0;
  model::TaskPhase phase = model::TaskPhase::kFetching;
  model::ExitCause cause = model::ExitCause::kNone;
  double phase_since = 0;         // time of the first report of this phase
  bool start_observed = false;    // this leader saw it start, so `phase_since` gives the run time
  double run_s = 0;               // run time of an exited task; 0 if unknown
  bool run_time_sampled = false;  // the slowness estimate already includes its run time
};

// The last start command that was sent to a machine for a task.
struct SentStart {
  uint64_t attempt = 0;
  model::FencingToken token;
  model::AgentEpoch agent_epoch;
  // Sequence number of the newest status report when the command was sent; raised to the newest one
  // when a direct command finishes.
  uint64_t sequence = 0;
  int open_direct_commands = 0;  // direct commands without a response so far
  // A direct command with this start got no response and may still be executed at any time.
  bool outcome_unknown = false;

  // True while the worker may receive the command for the first time.
  bool in_flight() const { return outcome_unknown || open_direct_commands > 0; }
};

// State of a machine's agent and of its lease, taken from the agent's status reports.
//
// A status report is either a heartbeat, which the agent initiates, or the response to a direct
// command. The response to a heartbeat renews the agent's lease. Direct commands never renew it.
struct AgentState {
  model::AgentEpoch epoch;          // of the newest status
  uint64_t sequence = 0;            // of the newest status
  uint64_t heartbeat_sequence = 0;  // of the newest heartbeat of this epoch; 0 if none
  model::FencingToken token;        // highest token that the agent has reported
  double last_heartbeat = -std::numeric_limits<double>::infinity();
  double last_status = -std::numeric_limits<double>::infinity();
  // Time of the last response that may have renewed the lease. If the response to a direct command
  // is the first report of a new epoch, the time of that report, since a new epoch has a new lease.
  double last_response = -std::numeric_limits<double>::infinity();
  // When the cloud reclaims the machine; infinity without a spot notice.
  double reclaim_at = std::numeric_limits<double>::infinity();
  // True if the last direct command got no response and no status report has arrived since.
  bool unreachable = false;
};

// Tracks whether our heartbeat responses reach the agent, which shows in its next heartbeat; see
// response_acknowledgement.h.
struct ResponseState {
  // The state that the next heartbeat should show after the last response.
  model::FencingToken token;
  model::AgentEpoch agent_epoch;
  std::vector<model::TaskId> expected_starts;
  // Number of consecutive responses whose expected effect is missing, and when the first of them
  // was detected. Responses from which no effect is expected do not count. A response of the agent
  // to a direct command resets the number.
  int unacknowledged = 0;
  double unacknowledged_since = 0;
};

// The machine's state at the cloud, from the scale-out request to the termination.
struct CloudState {
  bool listed = false;      // the cloud has listed it at least once
  double first_listed = 0;  // time of the first list that contained it
  double requested_at = 0;
  bool booting = true;
  double up_since = 0;    // when the list first showed that it had booted; 0 if never
  double idle_since = 0;  // when it last had a task
  // Marked for termination, possibly requested from the cloud already. Gets no new tasks.
  bool terminating = false;
  std::string termination_reason;
};

// Speed of the machine relative to others; see slowness_estimate.h.
struct PerformanceState {
  double slowness = 1;  // moving average of observed / expected run time
  int samples = 0;
};

// A worker machine.
struct Machine {
  std::string name;
  std::string endpoint;  // "host:port" of the agent; empty while unknown
  std::string machine_type;
  std::string zone;
  bool spot = false;

  AgentState agent;
  ResponseState responses;
  CloudState cloud;
  PerformanceState performance;
  std::map<model::TaskId, ReportedTask> reported_tasks;
  std::map<model::TaskId, SentStart> sent_starts;
  // The token of the commands to this machine, if it is higher than the leader's token
  // (WorkerRegistry::CommandToken); and the highest token of the direct commands with starts that
  // this leader has sent to it. Copies of these may arrive at any time (command_token.h).
  model::FencingToken command_token;
  model::FencingToken direct_start_token;
  // Set of images known to be on the machine; indexed by WorkerRegistry::image_index().
  std::vector<bool> images;

  // False for a machine that is known only from the cloud.
  bool has_reported() const { return agent.epoch.is_set(); }
  // True if the cloud has announced that it will reclaim the machine.
  bool HasSpotNotice() const { return agent.reclaim_at < std::numeric_limits<double>::infinity(); }
  // True if `report` is the newest known status of the machine.
  bool IsNewestStatus(const model::Heartbeat& report) const {
    return report.agent_epoch == agent.epoch && report.sequence == agent.sequence;
  }
};

}  // namespace hallpier::fleet
