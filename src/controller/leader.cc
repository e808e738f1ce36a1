#include "controller/leader.h"

#include <algorithm>

#include "config/operator_options.h"
#include "fleet/reconciliation.h"
#include "model/job.h"

namespace hallpier::controller {
namespace {

// Maximum fraction of the state service's write rate for retries of jobs that fail on every
// machine. Each retry takes two writes: its placement and its end.
constexpr double kRetryWriteShare = 0.1;
constexpr double kWritesPerRetry = 2;

fleet::WorkerRegistry::Options RegistryOptions(const config::Settings& settings,
                                               const config::OperatorOptions& operator_options) {
  fleet::WorkerRegistry::Options options;
  options.heartbeat_interval_s = settings.heartbeat_interval_s;
  options.lease_s = settings.lease_s;
  options.list_lag_s = settings.list_lag_s;
  options.silent_ratio = operator_options.silent_ratio;
  options.retries_per_s =
      kRetryWriteShare * settings.SmallestStateLimits().write_rps / kWritesPerRetry;
  options.terminations_per_s = ScalingLoop::kMaxReturnsPerCall * settings.cloud_rps;
  return options;
}

plan::PlanningContext MakeContext(const NodeServices& services) {
  plan::PlanningContext context;
  context.settings = services.settings;
  context.operator_options = services.operator_options;
  return context;
}

}  // namespace

Leader::Leader(const NodeServices& services)
    : services_(services),
      registry_(RegistryOptions(*services.settings, *services.operator_options)),
      context_(MakeContext(services)),
      command_source_(services, registry_),
      command_dispatcher_(services, registry_, command_source_, trigger_),
      heartbeat_handler_(services, registry_, command_source_, trigger_),
      scaling_loop_(services, registry_, context_, trigger_),
      block_coordinator_(services.operator_options->blocks.enabled
                             ? std::make_unique<BlockCoordinator>(services, registry_, context_)
                             : nullptr),
      round_runner_(services, {.registry = registry_,
                               .context = context_,
                               .command_source = command_source_,
                               .command_dispatcher = command_dispatcher_,
                               .scaling_loop = scaling_loop_,
                               .trigger = trigger_,
                               .block_coordinator = block_coordinator_.get()}) {}

void Leader::BeginTerm(async::Scope& term) {
  term_ = &term;
  const election::LeaderElection& election = *services_.election;
  registry_.BeginTerm(election.token(), term.loop().Now(), election.predecessor_answers_until());
  context_.machine_types = *services_.machine_types;
  command_source_.BeginTerm();
  command_dispatcher_.BeginTerm(term);
  round_runner_.BeginTerm();
  if (block_coordinator_) block_coordinator_->BeginTerm(term);
  term.Spawn(round_runner_.Run(term));
  term.Spawn(scaling_loop_.Run(term));
}

void Leader::OnJobChanged(const std::string& id) {
  if (!InTerm()) return;
  const jobs::Job* job = services_.job_table->Find(id);
  if (job != nullptr && job->cancelled) {
    for (const auto& [number, task_group] : job->task_groups()) {
      for (const auto& [index, task] : task_group.open) {
        if (!task.machine.empty()) command_dispatcher_.Send(task.machine);
      }
    }
  }
  if (job != nullptr && !job->blocked && job->priority <= model::Priority::kUrgent) {
    round_runner_.OnUrgentWork();
  }
  trigger_.Request();
}

void Leader::OnTaskGroupChanged(const store::TaskGroupKeyName& key) {
  if (!block_coordinator_ || !InTerm()) return;
  const jobs::Job* job = services_.job_table->Find(key.job);
  if (job == nullptr) return;
  // The key names either one part of a task group or the whole group.
  const uint32_t parts = job->groups.layout().parts_per_base_group;
  const uint32_t first = key.task_group * parts + key.part.value_or(0);
  const uint32_t end = key.part ? first + 1 : first + parts;
  for (auto it = job->task_groups().lower_bound(first);
       it != job->task_groups().end() && it->first < end; ++it) {
    for (const auto& [index, task] : it->second.open) {
      if (!task.machine.empty() &&
          fleet::IsStartDue(registry_, task.machine, {key.job, index}, task.attempt)) {
        command_dispatcher_.Send(task.machine);
      }
    }
  }
}

size_t Leader::ReportingMachineCount() const {
  const auto& machines = registry_.machines();
  return static_cast<size_t>(std::count_if(machines.begin(), machines.end(), [](const auto& entry) {
    return entry.second.has_reported() && !entry.second.cloud.terminating;
  }));
}

}  // namespace hallpier::controller
