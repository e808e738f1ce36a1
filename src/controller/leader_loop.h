// What only the leader does: rounds, commits, orders to workers; renting lies in CloudLoop.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "controller/block_leader.h"
#include "controller/cloud_loop.h"
#include "controller/leader_dependencies.h"
#include "controller/transaction_committer.h"
#include "fleet/worker_registry.h"
#include "jobs/transaction_builder.h"
#include "model/heartbeat.h"
#include "model/key_value.h"
#include "net/http_client.h"
#include "plan/round.h"

namespace hallpier::controller {

class LeaderLoop {
 public:
  explicit LeaderLoop(LeaderDependencies deps);

  // Starts the duties of a term; they end with its scope.
  void Begin(async::Scope& term);
  // A job's record has changed; the leader looks at it in the next round.
  void OnJobChanged(const std::string& id);
  // The records of a group of tasks have changed. Where others place, their machines are told here.
  void OnTasksChanged(const store::TaskGroupKeyName& key);
  // Null where blocks are off.
  BlockLeader* blocks() { return blocks_.get(); }
  // Something came that a round should look at: room, or the end of an awaited job.
  void OnChange();
  // Machines that are up and should report here.
  size_t ReportingMachines() const;
  // A worker's report, and what it is to be told.
  wire::HttpResponse OnHeartbeat(const model::Heartbeat& report);

 private:
  TransactionCommitter::Hooks CommitHooks();
  // A warm copy may lag behind what the former leader wrote last. Until it has passed our own first
  // write, it must not be acted upon: what it lacks would be stopped, or forgotten, as unrecorded.
  // After a pause of the process it must be complete anew: a task may have been cancelled
  // meanwhile.
  bool CaughtUp() const;
  // What a machine is to be told, as far as the copy of the records allows it now.
  std::vector<model::WorkerCommand> CommandsFor(fleet::Machine& machine, bool direct);
  async::Task<> RoundLoop(async::Scope& term);
  async::Task<> Round(async::Scope& term);
  // What a round writes, and under which guards.
  struct Decided {
    std::vector<jobs::TaskTransition> placements;
    std::vector<model::Precondition> preconditions;
  };
  // Lends and takes back as the plan over all machines says, and decides what this node itself
  // places. `scope`: the one of the plan; null: machines were not divided.
  async::Task<Decided> DecidePlacements(async::Scope& term, plan::RoundResult* plan,
                                        const plan::Scope* scope);
  void CarryOutStops(async::Scope& term, const std::vector<plan::Preemption>& stops);
  // Turns a round's mutations into transactions under these guards and sends them.
  async::Task<> Commit(async::Scope& term, std::vector<jobs::TaskTransition> transitions,
                       std::vector<model::Precondition> preconditions);
  // Whether a transaction gives way to what has come in since its round.
  bool GivesWay(const jobs::Transaction& transaction);
  double BackgroundIntervalS() const;
  void RecordFinals(const std::vector<model::KeyWrite>& writes) const;
  // Lines for the log on jobs that a transaction makes final.
  std::vector<std::string> DescribeEnds(const jobs::Transaction& transaction) const;
  // Tells a worker its orders without waiting for its report; one command at a time.
  void SendCommands(async::Scope& term, const std::string& machine);
  async::Task<> SendCommandsLoop(async::Scope& term, std::string machine);

  LeaderDependencies deps_;
  fleet::WorkerRegistry registry_;
  plan::Context context_;
  const size_t max_sends_;  // direct commands at a time
  net::HttpClient workers_;
  CloudLoop cloud_;
  TransactionCommitter committer_;
  std::unique_ptr<BlockLeader> blocks_;
  async::Scope* term_ = nullptr;
  async::Event work_;
  bool work_waits_ = false;
  double last_background_at_ = 0;       // when the last transaction was sent that nobody waits for
  bool urgent_came_ = false;            // prod or urgent work that no round has seen yet
  std::set<std::string> sending_;       // machines with a direct command under way
  std::set<std::string> send_again_;    // and those that need one after it, or once there is room
  std::deque<std::string> send_queue_;  // of these, those that have none under way, oldest first
  uint64_t term_began_ = 0;
  double round_took_ = 0;
};

}  // namespace hallpier::controller
