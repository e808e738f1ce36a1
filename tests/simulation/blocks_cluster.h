// Several controllers with blocks in fake time: copies of the records that lag, leaders and holders
// that freeze, end and are cut off, transactions whose answers are lost or that are carried out
// late, and workers that run what they are told. All from one seed. Serves the tests and
// tools/blocks_report.
//
// blocks_cluster.cc: users, faults, what is observed. blocks_cluster_rounds.cc: what a node does in
// its rounds. blocks_cluster_transactions.cc: a node's copy of the records and its writes.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "blocks/lending.h"
#include "blocks/machine_mirror.h"
#include "blocks/view_sender.h"
#include "config/operator_options.h"
#include "config/settings.h"
#include "fleet/worker_registry.h"
#include "jobs/transaction_builder.h"
#include "model/heartbeat.h"
#include "model/ids.h"
#include "model/job.h"
#include "model/key_value.h"
#include "simulation/event_queue.h"
#include "simulation/random.h"
#include "simulation/simulated_process.h"
#include "simulation/simulated_workers.h"
#include "simulation/versioned_store.h"

namespace hallpier::testing_support {

class BlocksCluster {
 public:
  struct Options {
    int nodes = 3;
    uint64_t seed = 1;
    int machines = 9;   // of four processors each
    double limit = 12;  // of "team"
    double run_s = 4;
    double delay_s = 0.005;     // of a request to the state service, one way; up to twice as much
    double watch_lag_s = 0.05;  // of the copies
    double lost = 0;            // part of transactions whose answer is lost
    double late = 0;         // part of transactions that get no answer and are carried out late...
    double min_late_s = 1;   // ...by so much at least
    double late_s = 8;       // and at the most
    double max_holders = 9;  // 2 at least; blocks off: 0
    // Preconditions that are left out, for trials: "token", "division", "share", "job"; "copy": a
    // node takes its copy of the records for complete.
    std::set<std::string> without = {};
  };
  struct Peak {
    double used = 0;   // processors of "team" at a time
    double limit = 0;  // at that time
  };

  explicit BlocksCluster(Options options);

  double now() const { return events_.now(); }
  const std::vector<std::string>& names() const { return names_; }
  void RunFor(double duration_s) { events_.RunFor(duration_s); }
  // False if the condition is not true within `limit_s` seconds.
  bool RunUntil(const std::function<bool()>& condition, double limit_s);
  void At(double delay_s, std::function<void()> run) { events_.At(delay_s, std::move(run)); }
  double Uniform(double least, double most) { return random_.Uniform(least, most); }

  // Users.
  void Submit(const model::JobSpec& spec);
  // Confirmed to the user from here on.
  void Cancel(const std::string& job);
  void SetLimit(double limit);

  // Faults.
  void Freeze(const std::string& name);
  void Resume(const std::string& name);
  void Kill(const std::string& name);
  void Restart(const std::string& name);
  void CutFromState(const std::string& name, bool cut) { NodeOf(name).state_cut = cut; }
  void CutFromPeers(const std::string& name, bool cut) { NodeOf(name).peer_cut = cut; }
  void SetOutage(bool outage) { outage_ = outage; }
  // A machine goes on with its tasks, and nobody hears it.
  void CutMachine(const std::string& machine, bool cut) { workers_.Cut(machine, cut); }
  // False: whoever takes the lead from now on is of a version that knows no blocks, and places on
  // all machines.
  void SetNewLeadersUseBlocks(bool divide) { leaders_divide_ = divide; }
  // What becomes of a transaction.
  enum class DeliveryFault { kNone, kAnswerLost, kLate, kNotSent };
  // Applies to a node's next transaction with placements; `on_sent` is called when it is sent.
  void SetNextPlacementFault(const std::string& name, DeliveryFault fault,
                             std::function<void()> on_sent = nullptr);
  // Called after each write of a record of blocks or shares.
  void OnBlockRecordWrite(std::function<void(const std::string& key)> hook) {
    on_record_ = std::move(hook);
  }

  // How things are.
  std::string Leader() const { return leader_; }
  // Empty: there is none.
  std::string HolderOtherThan(const std::string& name) const;
  blocks::DivisionRecord Division() const;
  bool Holds(const std::string& name) const;
  // Processors in a node's share of the limit of "team".
  double ShareCpus(const std::string& name) const;
  double widen_s() const { return WidenS(); }
  const Peak& peak() const { return peak_; }
  int starts_over_limit() const { return overshoots_; }
  int duplicate_starts() const { return workers_.duplicate_starts(); }
  int starts_after_cancel() const { return started_after_cancel_; }
  int starts() const { return starts_; }
  uint64_t writes() const { return store_.writes(); }
  int conflicts() const { return conflicts_; }
  const std::vector<double>& waits() const { return waits_; }  // submission to start, by task
  // Longest time in a row, since it was asked last, for which nothing was started although a task
  // waited for which the limit, less all that is recorded as placed, and a machine had room.
  double TakeLongestStall();
  // Processor seconds that such a task could have had beside what ran.
  double idle_cpu_s() const { return idle_cpu_s_; }
  // Placements recorded by a node since it was asked last.
  int TakePlacements(const std::string& name) { return std::exchange(NodeOf(name).placements, 0); }
  double Used() { return workers_.UsedCpus(); }
  int Unfinished() const;
  bool AllFinished() const { return Unfinished() == 0; }
  // Those of its block; all where there are no blocks.
  std::set<std::string> MachinesOf(const std::string& holder) const;
  // Called with the machine of each task that starts.
  void OnStart(std::function<void(const std::string& machine)> hook) {
    on_start_ = std::move(hook);
  }

 private:
  // What ends with a node's process, and its links.
  struct Node {
    std::string name;
    SimulatedProcess* process = nullptr;
    bool state_cut = false;
    bool peer_cut = false;
    double away_since = 0;
    uint64_t session = 0;
    // The copy of the records.
    jobs::JobTable job_table{store::TasksPerTextGroup(8)};
    blocks::BlockRecords records;
    std::map<std::string, uint64_t> versions;  // of the keys that are there
    std::map<std::string, uint64_t> seen;      // newest version of each key, drops included
    uint64_t revision = 0;
    size_t followed = 0;  // changes of the store
    // Rounds.
    std::unique_ptr<blocks::MachineMirror> mirror;
    plan::PlanningContext context;
    bool busy = false;  // a transaction is under way
    std::deque<jobs::Transaction> queue;
    std::deque<jobs::Transaction> unanswered;
    // The lead.
    bool leads = false;
    bool divides = false;  // it knows blocks
    model::FencingToken token;
    std::unique_ptr<fleet::WorkerRegistry> registry;
    std::unique_ptr<blocks::Lending> lending;
    std::map<std::string, blocks::ViewSender> senders;
    DeliveryFault next_fault = DeliveryFault::kNone;
    std::function<void()> on_sent;
    int placements = 0;
  };

  Node& NodeOf(const std::string& name) { return *nodes_.at(name); }
  bool Without(const std::string& precondition) const {
    return options_.without.contains(precondition);
  }
  fleet::WorkerRegistry::Options RegistryOptions() const;
  SimulatedWorkers::Options WorkerOptions() const;
  SimulatedWorkers::Hooks WorkerHooks();
  void StartProcess(const std::string& name);
  bool Reaches(const Node& node) const {
    return node.process->running() && !outage_ && !node.state_cut;
  }
  // Runs `run` after the delay, when the given process of the node gets its turn.
  void InProcessAfter(double delay_s, const std::string& name, uint64_t process,
                      std::function<void()> run);

  // The state service, and a node's copy.
  std::vector<std::string> Execute(const std::vector<model::Precondition>& preconditions,
                                   const std::vector<model::KeyWrite>& writes);
  // A node's copy takes in what is newer than what it knows.
  void Put(Node& node, const std::string& key, const std::string& value, uint64_t version);
  void Follow(Node& node);
  static uint64_t VersionIn(const Node& node, const std::string& key);
  blocks::CopyState Copy(const Node& node) const;

  // A node's rounds.
  void Tick(const std::string& name, uint64_t process);
  // The lead goes to whoever reaches the state service once the leader has not for a while.
  void ElectIfNeeded(Node& node);
  void BeginTerm(Node& node);
  // Membership: who is away for longer than a verdict takes is not alive, and joins anew after.
  void ReportMember(Node& leader, const std::string& name);
  void Rejoin(Node& node);
  double WidenS() const { return operators_.blocks.widen_ratio * settings_.heartbeat_interval_s; }
  void Round(Node& node);
  void HolderRound(Node& node);
  void LeaderRound(Node& node);
  // The leader's own placements where it knows blocks, and the preconditions of its transaction.
  struct OwnPlacements {
    std::vector<jobs::TaskTransition> places;
    std::vector<model::Precondition> preconditions;
  };
  OwnPlacements PlanOwnPlacements(Node& node, bool divided);
  // True if a write on records of blocks is under way.
  bool ReviewBlocks(Node& node, const plan::RoundResult& plan,
                    const std::optional<plan::PlacementScope>& scope);
  void SendViews(Node& leader);
  void TakeView(const std::string& holder, const wire::BlockView& view,
                const std::string& leader_name, uint64_t leading, double asked);

  // A node's transactions, one after the other.
  void Send(Node& node, const std::vector<jobs::TaskTransition>& transitions,
            std::vector<model::Precondition> preconditions, bool placements_only);
  // Without those that the options leave out.
  std::vector<model::Precondition> Kept(
      const std::vector<model::Precondition>& preconditions) const;
  void SendNext(Node& node);
  DeliveryFault FaultOf(Node& node, bool places);
  void NoAnswer(const std::string& name, const jobs::Transaction& transaction);
  void Answered(const std::string& name, const jobs::Transaction& transaction, uint64_t revision,
                const std::vector<std::string>& failed);

  // Heartbeats, on the leader.
  void RequestHeartbeat(Node& leader, const std::string& machine);
  void DeliverHeartbeat(const model::Heartbeat& heartbeat);
  void AnswerHeartbeat(const std::string& name, const model::Heartbeat& heartbeat, double sent);

  // Observation.
  double CpusOf(const model::TaskId& task) const;
  void NoteStart(const std::string& machine, const model::WorkerCommand& command);
  // Processors that the largest waiting task could have now; `used`: of the team's limit.
  double IdleCpus(double used);
  void WatchIdle();

  const Options options_;
  config::Settings settings_;
  config::OperatorOptions operators_;
  Random random_;
  EventQueue events_;
  std::vector<std::string> names_;
  std::map<std::string, SimulatedProcess> processes_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  bool outage_ = false;
  bool leaders_divide_ = true;
  VersionedStore store_;
  std::string leader_;
  double leader_seen_ = 0;
  std::set<std::pair<std::string, uint64_t>> judged_;  // node and session
  SimulatedWorkers workers_;
  std::set<std::string> submitted_;
  std::set<std::string> cancelled_;
  std::function<void(const std::string& key)> on_record_;
  std::function<void(const std::string& machine)> on_start_;
  double limit_changed_at_ = -100;
  Peak peak_;
  int overshoots_ = 0;
  int started_after_cancel_ = 0;
  int starts_ = 0;
  int conflicts_ = 0;
  std::vector<double> waits_;
  int starts_seen_ = 0;
  double stalled_since_ = 0;
  double longest_stall_ = 0;
  double idle_cpu_s_ = 0;
};

}  // namespace hallpier::testing_support
