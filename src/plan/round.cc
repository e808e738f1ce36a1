#include "plan/round.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plan/capacity_demand.h"
#include "plan/job_order.h"
#include "plan/job_queue.h"
#include "plan/latency_reservation.h"
#include "plan/preemption.h"
#include "plan/round_input.h"
#include "plan/round_machines.h"
#include "plan/spot_eviction.h"
#include "plan/task_classes.h"
#include "plan/task_mapping.h"
#include "store/task_group.h"

namespace hallpier::plan {
namespace {

// A start within this many seconds counts as now, since start times are inexact sums.
constexpr double kStartToleranceS = 1e-6;
// A new machine is worth its price for tasks that would otherwise wait for at least this fraction
// of its boot time.
constexpr double kScaleOutWaitRatio = 0.2;

// The result of the mapping for the tasks of one queued job.
struct MappedJob {
  size_t started = 0;        // tasks that start now
  size_t starting_soon = 0;  // tasks that start later, but too soon to justify a new machine
  std::vector<ExpectedStart> later;  // starts of all tasks that do not start now
  std::vector<uint32_t> waiting;     // indexes of waiting tasks; looked up at the first start
};

class Round {
 public:
  Round(const RoundInput& input, const std::vector<const jobs::Job*>& jobs)
      : input_(input),
        order_(input.context, input.time_of_day),
        max_tasks_(MaxTasksPerRound(*input.context.settings)),
        machines_(CollectMachines(input)),
        queue_(BuildJobQueue(input, machines_, order_, jobs)),
        task_classes_(input, machines_),
        preemption_(input, machines_, queue_, order_) {
    if (input_.scope != nullptr) result_.planned_by_owner.resize(input_.scope->owner_count);
    if (!input_.IsSingleOwner()) result_.preemptions = PlanSpotEvictions(input_);
    result_.waiting_tasks = queue_.waiting_tasks;
    result_.first_job_over_quota = std::move(queue_.first_job_over_quota);
  }

  RoundResult Run() {
    const std::vector<QueuedJob>& jobs = queue_.jobs;
    size_t tasks_left = max_tasks_;
    size_t begin = 0;
    bool reserved = false;
    while (begin < jobs.size() && tasks_left > 0) {
      if (!reserved && jobs[begin].job->priority > model::Priority::kUrgent) {
        ReserveForLatencySensitive(input_.context, machines_.total_cpus, machines_.availability);
        reserved = true;
      }
      const size_t end = EndOfRank(begin);
      tasks_left -= std::min(tasks_left, PlanRank(begin, end, tasks_left));
      begin = end;
    }
    if (!input_.IsSingleOwner()) {
      auto demands = DemandForUnmapped(queue_, begin, input_.context, machines_.total_cpus);
      std::move(demands.begin(), demands.end(), std::back_inserter(result_.demands));
    }
    return std::move(result_);
  }

 private:
  // Returns the end of the range of queued jobs that have the same rank as the one at `begin`.
  size_t EndOfRank(size_t begin) const {
    size_t end = begin;
    while (end < queue_.jobs.size() && queue_.jobs[end].rank == queue_.jobs[begin].rank) ++end;
    return end;
  }

  // Maps the queued jobs in [begin, end). Returns the number of mapped tasks, at most `limit`.
  size_t PlanRank(size_t begin, size_t end, size_t limit) {
    std::vector<TaskClass> classes;
    for (size_t i = begin; i < end; ++i) {
      classes.push_back(task_classes_.Build(queue_.jobs[i]));
    }
    const Mapping mapping = MapTasksDuplex(classes, machines_.availability, limit);
    std::vector<MappedJob> mapped(classes.size());
    for (const Assignment& assignment : mapping.assignments) {
      const QueuedJob& queued = queue_.jobs[begin + assignment.task_class];
      MappedJob& mapped_job = mapped[assignment.task_class];
      AddToPlannedByOwner(queued, assignment);
      if (assignment.start > kStartToleranceS) {
        Defer(assignment, mapped_job);
      } else {
        AddPlacement(queued, assignment, mapping.assignments.size(), mapped_job);
      }
    }
    for (size_t i = 0; i < classes.size(); ++i) {
      HandleUnstartedTasks(queue_.jobs[begin + i], classes[i], std::move(mapped[i]));
    }
    return mapping.assignments.size();
  }

  void AddToPlannedByOwner(const QueuedJob& queued, const Assignment& assignment) {
    if (input_.scope == nullptr) return;
    const size_t owner = machines_.owners[assignment.machine];
    const model::JobSpec& spec = queued.job->spec;
    result_.planned_by_owner[owner][spec.team] += RequirementOf(spec);
  }

  void Defer(const Assignment& assignment, MappedJob& mapped) const {
    const bool booting = !machines_.machines[assignment.machine]->has_reported();
    const double boot_s = machines_.machine_types[assignment.machine]->boot_s;
    if (booting || assignment.start < kScaleOutWaitRatio * boot_s) ++mapped.starting_soon;
    mapped.later.push_back({assignment.start, assignment.start + assignment.run_s});
  }

  void AddPlacement(const QueuedJob& queued, const Assignment& assignment, size_t assignments,
                    MappedJob& mapped) {
    const jobs::Job& job = *queued.job;
    // Looks up no more tasks than were mapped, since a job may have 100,000 waiting tasks.
    if (mapped.waiting.empty()) mapped.waiting = input_.job_table.WaitingTasks(job, assignments);
    jobs::TaskTransition placement;
    placement.kind = jobs::TaskTransition::Kind::kPlace;
    placement.task = {job.spec.id, mapped.waiting.at(mapped.started++)};
    placement.attempt = input_.job_table.NextAttempt(job, placement.task.index);
    placement.machine = machines_.machines[assignment.machine]->name;
    if (IsRetry(queued, placement.machine)) result_.retried_jobs.push_back(job.spec.id);
    result_.placements.push_back(std::move(placement));
  }

  // Returns true if the placement is a retry, which delays the next retries of the job.
  bool IsRetry(const QueuedJob& queued, const std::string& machine) const {
    const std::set<std::string>* failed_on =
        input_.registry.failure_tracker().FailedOn(queued.job->spec.id);
    return queued.is_retry || (failed_on != nullptr && failed_on->contains(machine));
  }

  // Adds the demand for new machines and plans preemptions for the tasks of a job that can't start
  // now.
  void HandleUnstartedTasks(const QueuedJob& queued, const TaskClass& task_class,
                            MappedJob mapped) {
    // A retry justifies neither a new machine nor a preemption.
    if (queued.is_retry || input_.IsSingleOwner()) return;
    const size_t unstarted = queued.tasks - mapped.started;
    const size_t unmet = unstarted - mapped.starting_soon;
    if (unmet > 0) {
      auto demand = DemandFor(queued.job->spec, unmet, input_.context.machine_types);
      if (demand) result_.demands.push_back(std::move(*demand));
    }
    // Adds the tasks that the mapping left out; their expected start is infinite.
    mapped.later.resize(std::min(unstarted, max_tasks_));
    auto preemptions = preemption_.PlanPreemptions(queued, task_class, std::move(mapped.later));
    std::move(preemptions.begin(), preemptions.end(), std::back_inserter(result_.preemptions));
  }

  const RoundInput& input_;
  const JobOrder order_;
  const size_t max_tasks_;
  RoundMachines machines_;
  JobQueue queue_;
  TaskClassBuilder task_classes_;
  PreemptionPlanner preemption_;
  RoundResult result_;
};

}  // namespace

size_t MaxTasksPerRound(const config::Settings& settings) {
  constexpr size_t kMinTasksPerRound = 500;
  const size_t writes = static_cast<size_t>(std::max(settings.txn_ops, 1));
  return std::max(kMinTasksPerRound, store::TasksPerTextGroup(settings.value_kb) * writes);
}

RoundResult PlanRound(PlanningContext& context, const jobs::JobTable& job_table,
                      const fleet::WorkerRegistry& registry, double now, double time_of_day,
                      const PlacementScope* scope) {
  const std::vector<const jobs::Job*> jobs = UnfinishedJobsByAge(job_table);
  for (const jobs::Job* job : jobs) {
    if (!job->cancelled && !job->blocked) LearnLatencySensitiveClass(context, *job);
  }
  const RoundInput input{context, job_table, registry, now, time_of_day, scope};
  return Round(input, jobs).Run();
}

}  // namespace hallpier::plan
