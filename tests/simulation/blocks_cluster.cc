#include "simulation/blocks_cluster.h"

#include <algorithm>

#include "fixtures.h"
#include "simulation/blocks_cluster_constants.h"

namespace hallpier::testing_support {
namespace {

constexpr double kHeartbeatIntervalS = 2;
constexpr double kLeaseS = 12;
constexpr double kStepS = 0.05;
// Tasks already placed when a limit is lowered start within this time.
constexpr double kLimitSettleS = 3;
// Tolerance for comparisons of sums of processors.
constexpr double kTolerance = 1e-6;
constexpr int kFirstMachineNumber = 100000;

config::Settings MakeSettings(double limit) {
  config::Settings settings = TestSettings();
  settings.heartbeat_interval_s = kHeartbeatIntervalS;
  settings.lease_s = kLeaseS;
  settings.node = "node-0";
  settings.teams = {{"team", 0, limit, 0, 0}, {"other", 0, 0, 0, 0}};
  return settings;
}

}  // namespace

BlocksCluster::BlocksCluster(Options options)
    : options_(std::move(options)),
      settings_(MakeSettings(options_.limit)),
      random_(options_.seed),
      workers_(events_, random_, WorkerOptions(), WorkerHooks()) {
  operator_options_.round_s = 1;
  operator_options_.blocks.enabled = true;
  operator_options_.blocks.max_owners = std::max(2.0, options_.max_owners);
  for (int i = 0; i < options_.nodes; ++i) {
    names_.push_back("node-" + std::to_string(i));
    StartProcess(names_.back());
  }
  for (int i = 0; i < options_.machines; ++i) {
    workers_.Add("vm-" + std::to_string(kFirstMachineNumber + i));
  }
  SampleIdleCpus();
}

SimulatedWorkers::Options BlocksCluster::WorkerOptions() const {
  return {.run_s = options_.run_s,
          .delay_s = options_.delay_s,
          .heartbeat_interval_s = settings_.heartbeat_interval_s,
          .lease_s = settings_.lease_s,
          .error_rate = options_.error_rate};
}

SimulatedWorkers::Hooks BlocksCluster::WorkerHooks() {
  SimulatedWorkers::Hooks hooks;
  hooks.has_leader = [this] { return !leader_.empty(); };
  hooks.send = [this](const model::Heartbeat& heartbeat) { DeliverHeartbeat(heartbeat); };
  hooks.cpus_of = [this](const model::TaskId& task) { return CpusOf(task); };
  hooks.on_start = [this](const std::string& machine, const model::WorkerCommand& command) {
    RecordStart(machine, command);
  };
  return hooks;
}

fleet::WorkerRegistry::Options BlocksCluster::RegistryOptions() const {
  return {settings_.heartbeat_interval_s, settings_.lease_s, 1, 3};
}

bool BlocksCluster::RunUntil(const std::function<bool()>& condition, double limit_s) {
  return events_.RunUntil(condition, limit_s, kStepS);
}

void BlocksCluster::Submit(const model::JobSpec& spec) {
  Execute({{store::JobKey(spec.id), 0}},
          {{store::JobKey(spec.id), store::WriteJob({spec, now(), false, 0}), 0}});
  submitted_.insert(spec.id);
}

void BlocksCluster::Cancel(const std::string& job) {
  const std::string key = store::JobKey(job);
  if (!store_.Contains(key)) return;
  auto record = store::ReadJob(store_.Value(key));
  record->cancelled = true;
  Execute({}, {{key, store::WriteJob(*record), 0}});
  cancelled_.insert(job);
}

void BlocksCluster::SetLimit(double limit) {
  settings_.teams[0].cpus_max = limit;
  limit_changed_at_ = now();
}

void BlocksCluster::Freeze(const std::string& name) {
  Node& node = NodeOf(name);
  node.process->Freeze();
  node.unavailable_since = now();
}

void BlocksCluster::Resume(const std::string& name) {
  SimulatedProcess& process = *NodeOf(name).process;
  if (process.running() && process.frozen()) process.Resume();
}

void BlocksCluster::Kill(const std::string& name) {
  Node& node = NodeOf(name);
  node.process->End();
  node.unavailable_since = now();
}

void BlocksCluster::Restart(const std::string& name) {
  Kill(name);
  StartProcess(name);
}

void BlocksCluster::SetNextPlacementFault(const std::string& name, DeliveryFault fault,
                                          std::function<void()> on_sent) {
  Node& node = NodeOf(name);
  node.next_fault = fault;
  node.on_sent = std::move(on_sent);
}

std::string BlocksCluster::OwnerOtherThan(const std::string& name) const {
  for (const blocks::BlockOwner& owner : CurrentAssignment().owners) {
    if (owner.node != name) return owner.node;
  }
  return "";
}

blocks::BlockAssignmentRecord BlocksCluster::CurrentAssignment() const {
  return blocks::ReadBlockAssignment(store_.Value(store::BlockAssignmentKey()))
      .value_or(blocks::BlockAssignmentRecord());
}

bool BlocksCluster::OwnsBlock(const std::string& name) const {
  return blocks::BlockAssignment(CurrentAssignment()).IndexOf(name).has_value();
}

double BlocksCluster::AllocatedCpus(const std::string& name) const {
  auto allocation = quota::ReadAllocation(store_.Value(store::AllocationKey(name)));
  return allocation && allocation->allocated.contains("team")
             ? allocation->allocated.at("team").cpus
             : 0;
}

double BlocksCluster::TakeLongestStall() {
  stalled_since_ = now();
  return std::exchange(longest_stall_, 0);
}

int BlocksCluster::UnfinishedJobs() const {
  return static_cast<int>(std::count_if(submitted_.begin(), submitted_.end(), [&](const auto& job) {
    return !store_.Contains(store::FinalKey(job));
  }));
}

std::set<std::string> BlocksCluster::MachinesOf(const std::string& owner) const {
  const blocks::BlockAssignment assignment(CurrentAssignment());
  std::set<std::string> machines;
  for (const std::string& name : workers_.Names()) {
    if (assignment.OwnerOf(name) == assignment.IndexOf(owner)) machines.insert(name);
  }
  return machines;
}

void BlocksCluster::StartProcess(const std::string& name) {
  SimulatedProcess& process = processes_[name];
  const bool first = !nodes_.contains(name);
  const uint64_t session = first ? 0 : NodeOf(name).session;
  const bool state_cut = !first && NodeOf(name).state_cut;
  process.Start();
  auto node = std::make_unique<Node>();
  node->name = name;
  node->process = &process;
  node->session = session + 1;
  node->state_cut = state_cut;
  node->replica = std::make_unique<blocks::MachineStateReplica>(RegistryOptions());
  node->context.settings = &settings_;
  node->context.operator_options = &operator_options_;
  node->context.machine_types = {MakeMachineType("c4", kMachineCpus)};
  nodes_[name] = std::move(node);
  Tick(name, process.generation());
}

void BlocksCluster::InProcessAfter(double delay_s, const std::string& name, uint64_t generation,
                                   std::function<void()> run) {
  At(delay_s, [this, name, generation, run = std::move(run)] {
    processes_.at(name).RunOrDefer(generation, run);
  });
}

double BlocksCluster::CpusOf(const model::TaskId& task) const {
  auto record = store::ReadJob(store_.Value(store::JobKey(task.job)));
  return record && record->spec.team == "team" ? record->spec.cpus : 0;
}

void BlocksCluster::RecordStart(const std::string& machine, const model::WorkerCommand& command) {
  if (cancelled_.contains(command.task.job)) ++starts_after_cancel_;
  auto record = store::ReadJob(store_.Value(store::JobKey(command.task.job)));
  ++starts_;
  if (on_start_) on_start_(machine);
  if (record && command.attempt == 1) waits_.push_back(now() - record->submitted_at);
  const double used = UsedCpus();
  const double limit = settings_.teams[0].cpus_max;
  if (used > peak_.used) peak_ = {used, limit};
  // Tasks that ran when the limit was lowered may continue, but no task may start beyond the limit.
  const bool settled = now() - limit_changed_at_ > kLimitSettleS;
  if (limit > 0 && used > limit + kTolerance && settled) ++starts_over_limit_;
}

double BlocksCluster::IdleCpus(double used) {
  const double remaining = settings_.teams[0].cpus_max - used;
  const double free = workers_.MaxFreeCpus(kMachineCpus);
  double max_cpus = 0;
  for (const auto& [id, job] : NodeOf(leader_).job_table.jobs()) {
    const bool fits = job.spec.cpus <= std::min(remaining, free) + kTolerance;
    if (!job.cancelled && job.waiting() > 0 && fits) max_cpus = std::max(max_cpus, job.spec.cpus);
  }
  return max_cpus;
}

void BlocksCluster::SampleIdleCpus() {
  At(kTickIntervalS, [this] { SampleIdleCpus(); });
  if (leader_.empty() || !NodeOf(leader_).process->running()) return;
  idle_cpu_s_ += IdleCpus(UsedCpus()) * kTickIntervalS;
  double placed = 0;
  for (const auto& [id, job] : NodeOf(leader_).job_table.jobs()) {
    placed += job.placed() * job.spec.cpus;
  }
  const bool stalled = IdleCpus(placed) > 0 && starts_ == starts_at_last_sample_;
  starts_at_last_sample_ = starts_;
  if (!stalled) stalled_since_ = now();
  longest_stall_ = std::max(longest_stall_, now() - stalled_since_);
}

}  // namespace hallpier::testing_support
