// What the leader knows of workers and machines, and what a machine must be told. Does no I/O.
//
// Safety: a recorded placement counts as alive until this class can prove that it is gone. The
// proofs, and what they guard against, stand beside ProvenAbsent().
#pragma once

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet/boot_times.h"
#include "fleet/failure_tracker.h"
#include "jobs/job_table.h"
#include "model/cloud.h"
#include "model/heartbeat.h"
#include "model/ids.h"
#include "model/machine_type.h"
#include "model/machine_view.h"
#include "model/task.h"
#include "wire/peer_messages.h"

namespace hallpier::fleet {

// What a worker last said of a task.
struct ReportedTask {
  uint64_t attempt = 0;
  model::TaskPhase state = model::TaskPhase::kFetching;
  model::ExitCause cause = model::ExitCause::kNone;
  double since = 0;         // steady time of the first report of this state
  bool seen_start = false;  // we saw it start to run, so that `since` tells the run time
  double run_s = 0;         // of an exited task, if known
  bool learned = false;     // its run time has been compared with its job's others
};

// A task's attempt that is recorded as placed on a machine.
struct Placement {
  model::TaskId task;
  uint64_t attempt = 0;
  std::string machine;
};

// The newest start order for a task under our token.
struct Sent {
  uint64_t attempt = 0;
  model::FencingToken token;
  model::AgentEpoch agent_epoch;
  uint64_t sequence = 0;  // the report that it answered, or the report that confirmed it
  int open = 0;           // direct commands with it that are under way
  bool lost = false;      // one of them got no answer: it may be executed at any time
  bool in_flight() const { return lost || open > 0; }
};

struct Machine {
  std::string name;
  std::string endpoint;
  std::string machine_type;
  std::string zone;
  bool spot = false;

  model::AgentEpoch agent_epoch;
  uint64_t sequence = 0;
  uint64_t heartbeat_sequence = 0;
  model::FencingToken token;  // the highest it has seen, as far as we were told
  double last_heartbeat = -std::numeric_limits<double>::infinity();  // a report that came by itself
  double last_status = -std::numeric_limits<double>::infinity();
  double last_answer = -std::numeric_limits<double>::infinity();
  double reclaim_at = std::numeric_limits<double>::infinity();
  std::map<model::TaskId, ReportedTask> reported_tasks;
  std::map<model::TaskId, Sent> sent;

  // What the last answer to a report should have changed, and for how many answers in a row nothing
  // of the kind was seen: our answers may be lost though we hear it.
  struct Answered {
    model::FencingToken token;
    model::AgentEpoch agent_epoch;
    std::vector<model::TaskId> starts;
  } answered;
  int unacknowledged = 0;
  double unacknowledged_since = 0;

  bool unreachable = false;  // did not answer the last direct command, and has not reported since

  bool listed = false;
  double first_listed = 0;
  double requested_at = 0;
  bool booting = true;
  double up_seen = 0;  // when it was first listed as running

  std::vector<bool> images;  // by WorkerRegistry::ImageId: seen to be there, as far as we know

  bool returning = false;  // to be returned, or asked to be: never used again
  std::string why_returning;
  double slowness = 1;  // observed run times / predicted ones
  int slow_samples = 0;
  double idle_since = 0;

  bool has_reported() const { return agent_epoch.known(); }
  bool HasSpotNotice() const { return reclaim_at < std::numeric_limits<double>::infinity(); }
};

class WorkerRegistry {
 public:
  struct Options {
    double heartbeat_interval_s = 0;
    double lease_s = 0;
    double list_lag_s = 0;
    double silent_ratio = 0;
    // Retries of jobs that fail everywhere, a second.
    double retries_per_s = 1;
    // Machines that the cloud takes back a second, at the most.
    double returns_per_s = 0;
  };
  explicit WorkerRegistry(Options options);

  // Starts a term: nothing that was learned under another token is proof any more. Others may have
  // answered workers until `others_until` (steady time).
  void BeginTerm(model::FencingToken token, double now, double others_until);
  model::FencingToken token() const { return token_; }

  // Takes in a report. `direct`: the answer to /commands, which renews nothing and does not follow
  // an answer of ours. True if something changed that a round should look at.
  bool OnHeartbeat(const model::Heartbeat& r, double now, bool direct);
  // Learns from what runs and has run: images that are there, how slow a machine is, and which
  // machines fail what succeeds elsewhere; these are to be returned.
  void Learn(const jobs::JobTable& job_table);
  // True if a machine takes so much longer than others that it is better replaced.
  static bool Slow(const Machine& m);
  // An answer to `r` goes out. What an answer to a report that is not the newest could renew
  // reaches no further than the newest one: copies that come late renew nothing.
  void OnAnswered(const model::Heartbeat& r, const std::vector<model::WorkerCommand>& commands,
                  double now);
  // `asked`: when the list was asked for; it came now.
  void OnListed(const std::vector<model::CloudMachine>& machines, double asked, double now);
  void OnScaledOut(const std::vector<std::string>& names, const model::ScaleOutRequest& request,
                   double now);
  // The cloud has confirmed a return: the machine and all on it are gone.
  void OnReturned(const std::string& machine);

  // True if a recorded placement has not been sent to its machine under our token, nor is it there.
  bool StartIsDue(const std::string& machine, const model::TaskId& task, uint64_t attempt) const;
  // What the answer to a report, or a direct command, should say. Start orders that go out are
  // noted as sent; FinishDirect() must follow each direct command.
  std::vector<model::WorkerCommand> Reconcile(Machine& m, const jobs::JobTable& job_table,
                                              bool direct);
  // The stops among these that hold whatever has been recorded since: of tasks whose job is known
  // to be cancelled, since a cancellation is never taken back.
  static std::vector<model::WorkerCommand> CancellationCommands(const Machine& m,
                                                                const jobs::JobTable& job_table);
  void FinishDirect(const std::string& machine, const std::vector<model::WorkerCommand>& commands,
                    model::FencingToken token, bool answered);
  // True if a lost start order stands in the way of a stop or a cancellation: only a higher token
  // makes it void.
  bool NeedsHigherToken(const jobs::JobTable& job_table) const;
  void SetToken(model::FencingToken token) { token_ = token; }

  // Outcomes and proofs of absence that must be recorded.
  std::vector<jobs::TaskTransition> Collect(const jobs::JobTable& job_table, double now);

  // How a machine looks here, for a node that plans for a block of machines without hearing their
  // workers (roster_views.cc). `images`: of those that matter.
  model::MachineView ViewOf(const Machine& m, const std::vector<std::string>& images,
                            double now) const;
  // On such a node: takes in what the leader says of a machine.
  void TakeView(const model::MachineView& view, double now);
  void DropView(const std::string& machine);
  // The leader has been heard: what it did not tell anew is as it was.
  void ConfirmViews(double now);

  // Asks for a task to be stopped; it stays recorded until it is gone.
  void Stop(const model::TaskId& task, uint64_t attempt, double grace_s);
  bool Stopping(const model::TaskId& task, uint64_t attempt) const;
  void Return(Machine& m, const std::string& why);
  // Whose fault failures are, and when a job that fails everywhere is retried.
  const FailureTracker& failures() const { return failures_; }
  FailureTracker& failures() { return failures_; }
  const BootTimes& boot_times() const { return boot_times_; }
  // Machines of a type that should be up by now, and those that may still come up in time.
  struct Outstanding {
    size_t late = 0;
    size_t in_time = 0;
  };
  Outstanding CountOutstanding(const model::MachineType& type, double now) const;
  // True for a machine that is not up although nearly all of its type would be.
  bool Late(const Machine& m, const model::MachineType& type, double now) const;
  // The number under which machines note an image; nothing if none has been seen with it.
  std::optional<size_t> ImageId(const std::string& image) const;

  // True if a machine may get new tasks now.
  bool Usable(const Machine& m, double now) const;
  bool Silent(const Machine& m, double now) const;
  // For how many report periods nothing has been heard of a machine that is up.
  double Unheard(const Machine& m, double now) const;
  // True if its reports come, but show that our answers don't reach it.
  bool AnswersLost(const Machine& m, double now) const;
  // Steady time from which on nothing can run there that was started before; see the .cc file.
  double ExpiresAt(const Machine* m) const;

  std::map<std::string, Machine>& all() { return machines_; }
  const std::map<std::string, Machine>& all() const { return machines_; }
  Machine* Find(const std::string& name);

 private:
  std::pair<Machine*, bool> Add(const std::string& name);  // true: it is new
  bool ProvenAbsent(const Machine& m, const model::TaskId& task) const;
  // What has become of a recorded placement; nothing while it may be alive. `gone`: all that ran on
  // the machine has ended, heard of or not.
  std::optional<jobs::TaskTransition> OutcomeOf(const Placement& placement, const Machine* m,
                                                bool gone, const jobs::JobTable& job_table,
                                                double now) const;
  std::optional<jobs::TaskTransition> OutcomeOfExit(const Placement& placement, const Machine& m,
                                                    const ReportedTask& exit, bool gone,
                                                    const jobs::JobTable& job_table,
                                                    double now) const;
  bool Unwanted(const Machine& m, const model::TaskId& task, uint64_t attempt,
                const jobs::JobTable& job_table) const;
  void LearnImage(Machine& m, const std::string& image);
  void CheckAcknowledged(Machine& m, const model::Heartbeat& r, double now) const;
  void TakeTasks(Machine& m, const model::Heartbeat& r, double now);

  const Options options_;
  model::FencingToken token_;
  double term_start_ = 0;
  model::FencingToken term_token_;  // the first of the term
  double others_until_ = 0;
  // By name, since plans go through them in that order; the index is for the many look-ups.
  std::map<std::string, Machine> machines_;
  std::unordered_map<std::string, Machine*> index_;
  struct StopRequest {
    uint64_t attempt;
    double grace_s;
  };
  std::map<model::TaskId, StopRequest> stops_;
  const size_t gone_kept_;
  std::set<std::string> gone_;  // confirmed returns of this term
  FailureTracker failures_;
  BootTimes boot_times_;
  std::unordered_map<std::string, size_t> images_;
};

}  // namespace hallpier::fleet
