// Simulates several controllers that share the machines in blocks, in fake time. Their watch caches
// lag behind the state service. Leaders and block owners freeze, terminate and are
// partitioned; transactions lose their answers or are executed late; workers run the commands that
// they receive. One seed determines the whole run. The tests and tools/blocks_report use it.
//
// blocks_cluster.cc: users, faults and measurements. blocks_cluster_rounds.cc: the rounds of a
// node. blocks_cluster_transactions.cc: a node's watch cache and its transactions.
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

#include "blocks/block_planner.h"
#include "blocks/block_view_builder.h"
#include "blocks/machine_state_replica.h"
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
    int machines = 9;   // with four processors each
    double limit = 12;  // processors of "team"
    double run_s = 4;
    double delay_s = 0.005;       // minimum one-way delay to the state service; up to twice as long
    double watch_lag_s = 0.05;    // lag of a node's watch cache
    double lost_answer_rate = 0;  // probability that the answer to a transaction is lost
    double late_rate = 0;   // probability that a transaction is executed late, without an answer
    double min_late_s = 1;  // minimum delay of a late transaction
    double max_late_s = 8;  // maximum delay of a late transaction
    // If positive, the leader starts tasks with direct commands, of which this share arrives once
    // more after having been executed and answered.
    double command_copy_rate = 0;
    double min_copy_delay_s = 0.5;
    double max_copy_delay_s = 10;
    double error_rate = 0;  // probability that a task fails
    double max_owners = 9;  // at least 2; 0 disables blocks
    // Safety checks to disable in experiments. "token", "division", "share" and "job" omit the
    // preconditions on the fencing token, the block assignment, the allocations and the jobs. With
    // "copy" a node assumes that its watch cache is complete.
    std::set<std::string> disabled_checks = {};
  };
  struct Peak {
    double used = 0;   // highest number of processors used by "team"
    double limit = 0;  // limit of "team" at that time
  };

  explicit BlocksCluster(Options options);

  double now() const { return events_.now(); }
  const std::vector<std::string>& names() const { return names_; }
  void RunFor(double duration_s) { events_.RunFor(duration_s); }
  // Returns false if the condition does not become true within `limit_s` seconds.
  bool RunUntil(const std::function<bool()>& condition, double limit_s);
  void At(double delay_s, std::function<void()> run) { events_.At(delay_s, std::move(run)); }
  double Uniform(double min, double max) { return random_.Uniform(min, max); }

  // User requests.
  void Submit(const model::JobSpec& spec);
  // Cancels the job. The user has the confirmation when the call returns.
  void Cancel(const std::string& job);
  void SetLimit(double limit);

  // Fault injection.
  void Freeze(const std::string& name);
  void Resume(const std::string& name);
  void Kill(const std::string& name);
  void Restart(const std::string& name);
  void CutFromState(const std::string& name, bool cut) { NodeOf(name).state_cut = cut; }
  void CutFromPeers(const std::string& name, bool cut) { NodeOf(name).peer_cut = cut; }
  void SetOutage(bool outage) { outage_ = outage; }
  // Partitions a machine from the controllers. Its tasks continue to run.
  void CutMachine(const std::string& machine, bool cut) { workers_.Cut(machine, cut); }
  // If false, every leader elected from now on runs a version without blocks, which places on all
  // machines.
  void SetNewLeadersUseBlocks(bool use_blocks) { new_leaders_use_blocks_ = use_blocks; }
  // Fault in the delivery of a transaction to the state service, or of its answer to the node.
  enum class DeliveryFault { kNone, kAnswerLost, kLate, kNotSent };
  // Injects a fault into the node's next transaction with placements. `on_sent` is called when the
  // node sends the transaction.
  void SetNextPlacementFault(const std::string& name, DeliveryFault fault,
                             std::function<void()> on_sent = nullptr);
  // Sets a hook that is called after each write of a block assignment or allocation record.
  void OnBlockRecordWrite(std::function<void(const std::string& key)> hook) {
    on_block_record_write_ = std::move(hook);
  }

  // State and measurements. Leader() is empty if no leader was elected yet.
  std::string Leader() const { return leader_; }
  // Returns a block owner other than `name`. Empty if there is none.
  std::string OwnerOtherThan(const std::string& name) const;
  blocks::BlockAssignmentRecord CurrentAssignment() const;
  bool OwnsBlock(const std::string& name) const;
  // Returns the processors that the node's allocation of the limit of "team" contains.
  double AllocatedCpus(const std::string& name) const;
  double widen_s() const { return WidenS(); }
  const Peak& peak() const { return peak_; }
  int starts_over_limit() const { return starts_over_limit_; }
  int duplicate_starts() const { return workers_.duplicate_starts(); }
  int repeated_starts() const { return workers_.repeated_starts(); }
  int starts_after_cancel() const { return starts_after_cancel_; }
  int starts() const { return starts_; }
  uint64_t writes() const { return store_.writes(); }
  int conflicts() const { return conflicts_; }
  // Seconds from submission to the first start, one entry for each task.
  const std::vector<double>& waits() const { return waits_; }
  // Returns the longest stall since the last call, in seconds. A stall is a period in which no task
  // started although a waiting task fitted on a machine and within the limit minus all tasks
  // recorded as placed.
  double TakeLongestStall();
  // Processor seconds left unused while a waiting task would have fitted beside the running tasks.
  double idle_cpu_s() const { return idle_cpu_s_; }
  // Returns the number of placements that the node has recorded since the last call.
  int TakePlacements(const std::string& name) { return std::exchange(NodeOf(name).placements, 0); }
  double UsedCpus() { return workers_.UsedCpus(); }
  int UnfinishedJobs() const;
  bool AllFinished() const { return UnfinishedJobs() == 0; }
  // Returns the machines of the owner's block, or all machines if there are no blocks.
  std::set<std::string> MachinesOf(const std::string& owner) const;
  // Sets a hook that is called with the machine of each task that starts.
  void OnStart(std::function<void(const std::string& machine)> hook) {
    on_start_ = std::move(hook);
  }

 private:
  // State of one process of a node, and the node's connections.
  struct Node {
    std::string name;
    SimulatedProcess* process = nullptr;
    bool state_cut = false;
    bool peer_cut = false;
    double unavailable_since = 0;
    uint64_t session = 0;
    // Watch cache of the records.
    jobs::JobTable job_table{store::TasksPerTextGroup(8)};
    blocks::BlockRecords records;
    std::map<std::string, uint64_t> versions;         // by key; 0 if deleted
    std::map<std::string, uint64_t> newest_versions;  // by key, deletions included
    uint64_t revision = 0;
    size_t applied_changes = 0;  // number of changes of the store applied so far
    // Rounds.
    std::unique_ptr<blocks::MachineStateReplica> replica;
    plan::PlanningContext context;
    bool busy = false;  // a transaction is in flight
    std::deque<jobs::Transaction> queue;
    std::deque<jobs::Transaction> unanswered;
    // Leadership.
    bool is_leader = false;
    bool uses_blocks = false;  // false for a version without blocks
    model::FencingToken token;
    std::unique_ptr<fleet::WorkerRegistry> registry;
    std::set<std::string> commanded_machines;  // those with a direct command in flight
    std::unique_ptr<blocks::BlockPlanner> block_planner;
    std::map<std::string, blocks::BlockViewBuilder> view_builders;
    DeliveryFault next_fault = DeliveryFault::kNone;
    std::function<void()> on_sent;
    int placements = 0;
  };

  Node& NodeOf(const std::string& name) { return *nodes_.at(name); }
  bool IsDisabled(const std::string& check) const {
    return options_.disabled_checks.contains(check);
  }
  fleet::WorkerRegistry::Options RegistryOptions() const;
  SimulatedWorkers::Options WorkerOptions() const;
  SimulatedWorkers::Hooks WorkerHooks();
  void StartProcess(const std::string& name);
  bool ReachesState(const Node& node) const {
    return node.process->running() && !outage_ && !node.state_cut;
  }
  // Runs `run` after the delay in the node's process of this generation. Deferred while the process
  // is frozen; dropped if it has ended.
  void InProcessAfter(double delay_s, const std::string& name, uint64_t generation,
                      std::function<void()> run);

  // State service, and a node's watch cache.
  std::vector<std::string> Execute(const std::vector<model::Precondition>& preconditions,
                                   const std::vector<model::KeyWrite>& writes);
  // Updates the node's watch cache if `version` is newer than the version it knows.
  void ApplyRecord(Node& node, const std::string& key, const std::string& value, uint64_t version);
  void ApplyChanges(Node& node);
  static uint64_t VersionIn(const Node& node, const std::string& key);
  blocks::CacheState CacheStateOf(const Node& node) const;

  // Rounds of a node.
  void Tick(const std::string& name, uint64_t generation);
  // Makes `node` the leader if it reaches the state service and has applied all changes, and if
  // there is no leader or the leader has not reached the state service for kLeaderTtlS.
  void ElectIfNeeded(Node& node);
  void BeginTerm(Node& node);
  // Simulates membership: a node that is unavailable for longer than a failure declaration takes
  // counts as failed. Rejoin() starts a new session for such a node.
  void ReportMember(Node& leader, const std::string& name);
  void Rejoin(Node& node);
  double WidenS() const {
    return operator_options_.blocks.widen_ratio * settings_.heartbeat_interval_s;
  }
  void Round(Node& node);
  void OwnerRound(Node& node);
  void LeaderRound(Node& node);
  // Placements that a leader with blocks makes itself, and the preconditions of its transaction.
  struct OwnPlacements {
    std::vector<jobs::TaskTransition> places;
    std::vector<model::Precondition> preconditions;
  };
  OwnPlacements PlanOwnPlacements(Node& node, bool has_owners);
  // Returns true if a transaction on block assignment or allocation records is in flight.
  bool ReviewBlocks(Node& node, const plan::RoundResult& plan,
                    const std::optional<plan::PlacementScope>& scope);
  void SendViews(Node& leader);
  void ApplyView(const std::string& owner, const wire::BlockView& view,
                 const std::string& leader_name, uint64_t leader_generation, double sent);

  // Transactions of a node, sent one at a time.
  void Send(Node& node, const std::vector<jobs::TaskTransition>& transitions,
            std::vector<model::Precondition> preconditions, bool placements_only);
  // Returns the preconditions without those that Options::disabled_checks omits.
  std::vector<model::Precondition> EnabledPreconditions(
      const std::vector<model::Precondition>& preconditions) const;
  void SendNext(Node& node);
  DeliveryFault ChooseFault(Node& node, bool places);
  void OnTransactionTimeout(const std::string& name, const jobs::Transaction& transaction);
  void OnTransactionAnswer(const std::string& name, const jobs::Transaction& transaction,
                           uint64_t revision, const std::vector<std::string>& failed);

  // Heartbeats, on the leader's side.
  // Makes the machine's agent receive the starts that are due.
  void SendDueStarts(Node& leader, const std::string& machine);
  void SendDirectCommand(Node& leader, const std::string& machine);
  void OnDirectCommandFinished(const std::string& name,
                               const SimulatedWorkers::DirectCommand& command,
                               const std::optional<model::Heartbeat>& report);
  void DeliverHeartbeat(const model::Heartbeat& heartbeat);
  void AnswerHeartbeat(const std::string& name, const model::Heartbeat& heartbeat, double sent);

  // Measurements.
  double CpusOf(const model::TaskId& task) const;
  void RecordStart(const std::string& machine, const model::WorkerCommand& command);
  // Returns the processors of the largest waiting task that fits now, if `used` processors of the
  // team's limit are used. 0 if none fits.
  double IdleCpus(double used);
  void SampleIdleCpus();

  const Options options_;
  config::Settings settings_;
  config::OperatorOptions operator_options_;
  Random random_;
  EventQueue events_;
  std::vector<std::string> names_;
  std::map<std::string, SimulatedProcess> processes_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  bool outage_ = false;
  bool new_leaders_use_blocks_ = true;
  VersionedStore store_;
  std::string leader_;
  double leader_seen_ = 0;
  std::set<std::pair<std::string, uint64_t>> failed_sessions_;  // node and session
  SimulatedWorkers workers_;
  std::set<std::string> submitted_;
  std::set<std::string> cancelled_;
  std::function<void(const std::string& key)> on_block_record_write_;
  std::function<void(const std::string& machine)> on_start_;
  double limit_changed_at_ = -100;
  Peak peak_;
  int starts_over_limit_ = 0;
  int starts_after_cancel_ = 0;
  int starts_ = 0;
  int conflicts_ = 0;
  std::vector<double> waits_;
  int starts_at_last_sample_ = 0;
  double stalled_since_ = 0;
  double longest_stall_ = 0;
  double idle_cpu_s_ = 0;
};

}  // namespace hallpier::testing_support
