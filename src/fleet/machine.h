// The state that a leader keeps for each machine: plain data, grouped by where it comes from.
//
// Owned by WorkerRegistry, and changed only by it and by the modules that work on it
// (reconciliation, answer acknowledgement, slowness estimate, machine views). Lives on the event
// loop's thread. All times are in seconds of the steady clock unless a comment says otherwise.
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

// What a worker last reported about a task.
struct ReportedTask {
  uint64_t attempt = 0;
  model::TaskPhase state = model::TaskPhase::kFetching;
  model::ExitCause cause = model::ExitCause::kNone;
  double since = 0;             // when this state was first reported
  bool start_observed = false;  // this leader saw it start to run: `since` gives the run time
  double run_s = 0;             // run time of an exited task; 0 if unknown
  bool run_time_used = false;   // its run time has entered the machine's slowness estimate
};

// The newest start command for a task that was sent to a machine.
struct SentStart {
  uint64_t attempt = 0;
  model::FencingToken token;
  model::AgentEpoch agent_epoch;
  // Sequence of the status that the command answered, or of the newest status that was known when
  // the direct command finished.
  uint64_t sequence = 0;
  int open_direct_commands = 0;  // requests with this command whose answers are awaited
  bool lost = false;             // a request got no answer: it may be executed at any time

  // True while the command may still arrive at the worker.
  bool in_flight() const { return lost || open_direct_commands > 0; }
  // False if the worker has to refuse the command, or has forgotten it with its former epoch.
  bool IssuedUnder(model::FencingToken current_token, model::AgentEpoch current_epoch) const {
    return token == current_token && agent_epoch == current_epoch;
  }
};

// What the status reports of a machine's agent say of the agent itself, and of its lease.
//
// A status is a heartbeat, which the agent sends by itself and which renews its lease once it is
// answered, or the answer to a direct command, which renews nothing.
struct AgentState {
  model::AgentEpoch epoch;          // of the newest status
  uint64_t sequence = 0;            // of the newest status
  uint64_t heartbeat_sequence = 0;  // of the newest heartbeat of this epoch; 0: none yet
  model::FencingToken token;        // the highest that the agent has reported
  double last_heartbeat = -std::numeric_limits<double>::infinity();
  double last_status = -std::numeric_limits<double>::infinity();
  // The last time at which an answer may have renewed the lease.
  double last_answer = -std::numeric_limits<double>::infinity();
  // When the cloud takes the machine back; infinity: no spot notice was given.
  double reclaim_at = std::numeric_limits<double>::infinity();
  // It did not answer the last direct command, and has not reported since.
  bool unreachable = false;
};

// Whether our answers to heartbeats reach the agent, judged by what its next heartbeat shows.
struct ResponseState {
  // What the last answer should have changed.
  model::FencingToken token;
  model::AgentEpoch agent_epoch;
  std::vector<model::TaskId> starts;
  // For how many answers in a row no such change was seen, and since when.
  int unacknowledged = 0;
  double unacknowledged_since = 0;
};

// The machine as the cloud sees it, from its request to its termination.
struct CloudState {
  bool listed = false;      // it has been in a list of the cloud
  double first_listed = 0;  // when that list came
  double requested_at = 0;
  bool booting = true;
  double up_since = 0;    // when it was first listed as running; 0: never
  double idle_since = 0;  // when it last had work
  // It is to be terminated, or its termination has been requested: it gets no work any more.
  bool terminating = false;
  std::string termination_reason;
};

// How fast tasks run on the machine; see slowness_estimate.h.
struct PerformanceState {
  double slowness = 1;  // observed run times divided by expected ones, averaged
  int samples = 0;
};

// A worker machine.
struct Machine {
  std::string name;
  std::string endpoint;  // "host:port" of its agent; empty while unknown
  std::string machine_type;
  std::string zone;
  bool spot = false;

  AgentState agent;
  ResponseState answers;
  CloudState cloud;
  PerformanceState performance;
  std::map<model::TaskId, ReportedTask> reported_tasks;
  std::map<model::TaskId, SentStart> sent_starts;
  // Images that were seen to be there, by their numbers in WorkerRegistry::image_index().
  std::vector<bool> images;

  // False for a machine that is known from the cloud only.
  bool has_reported() const { return agent.epoch.known(); }
  // True if the cloud has announced that it takes the machine back.
  bool HasSpotNotice() const { return agent.reclaim_at < std::numeric_limits<double>::infinity(); }
  // True if `report` is the newest status that is known of the machine.
  bool IsNewestStatus(const model::Heartbeat& report) const {
    return report.agent_epoch == agent.epoch && report.sequence == agent.sequence;
  }
};

}  // namespace hallpier::fleet
