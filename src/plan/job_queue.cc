#include "plan/job_queue.h"

#include <algorithm>
#include <tuple>

#include "plan/retry_budget.h"
#include "plan/starvation.h"
#include "plan/team_quota.h"

namespace hallpier::plan {
namespace {

// Precedes the ranks of all tiers.
constexpr int kStarvedRank = -1;

class JobQueueBuilder {
 public:
  JobQueueBuilder(const RoundInput& input, const RoundMachines& machines, const JobOrder& order,
                  const std::vector<const jobs::Job*>& jobs)
      : input_(input),
        order_(order),
        quotas_(input.IsSingleOwner()
                    ? TeamQuotas::FromAllowances(input.scope->team_allowances)
                    : TeamQuotas::FromTeamLimits(input.context.settings->teams, jobs,
                                                 machines.reported_done_by_team)),
        starvation_(input, machines.total_cpus),
        retries_(input.registry.failure_tracker(), input.now, machines.total_cpus) {
    for (const jobs::Job* job : jobs) {
      // A blocked job does not use its team's guarantee and creates no demand for machines.
      if (!job->cancelled && !job->blocked) Add(*job);
    }
    std::stable_sort(
        queue_.jobs.begin(), queue_.jobs.end(),
        [](const QueuedJob& left, const QueuedJob& right) { return left.rank < right.rank; });
    ApplyQuotas();
  }

  JobQueue Take() { return std::move(queue_); }

 private:
  void Add(const jobs::Job& job) {
    const config::Team* team = input_.context.settings->FindTeam(job.spec.team);
    const bool within_guarantee = quotas_.ChargeGuarantee(job, team);
    if (within_guarantee) queue_.jobs_within_guarantee.insert(&job);
    const int tier = order_.PriorityTier(job, within_guarantee);
    queue_.tier_by_job[&job] = tier;
    if (job.waiting() == 0 || !MayPlaceHere(job)) return;
    const int rank = tier * kBandsPerTier + order_.RemainingWorkBand(job);
    QueuedJob queued{&job, within_guarantee, rank, job.waiting()};
    if (input_.registry.failure_tracker().IsSuspected(job.spec.id)) {
      // Last rank of its tier, so that no other job waits for a task that will probably fail again.
      queued.is_retry = true;
      queued.rank = tier * kBandsPerTier + kBandsPerTier - 1;
      queued.tasks = retries_.TryRetry(job) ? 1 : 0;
    } else if (const size_t served_first = starvation_.TasksServedFirst(job); served_first > 0) {
      queued.rank = kStarvedRank;
      queued.tasks = std::min(queued.tasks, served_first);
    }
    queue_.jobs.push_back(queued);
  }

  bool MayPlaceHere(const jobs::Job& job) const {
    return !input_.IsSingleOwner() || input_.scope->may_place(*input_.scope->single_owner, job);
  }

  // Drops the tasks that exceed their team's quota. The quota is granted in queue order.
  void ApplyQuotas() {
    for (QueuedJob& queued : queue_.jobs) {
      const model::JobSpec& spec = queued.job->spec;
      const size_t admitted = quotas_.Admit(spec, queued.tasks);
      if (admitted < queued.tasks) queue_.first_job_over_quota.try_emplace(spec.team, spec.id);
      queued.tasks = admitted;
      queue_.waiting_tasks += admitted;
    }
    std::erase_if(queue_.jobs, [](const QueuedJob& queued) { return queued.tasks == 0; });
  }

  const RoundInput& input_;
  const JobOrder& order_;
  TeamQuotas quotas_;
  StarvationGuard starvation_;
  RetryBudget retries_;
  JobQueue queue_;
};

}  // namespace

// Integer division rounds kStarvedRank towards 0, which is the first tier.
int TierOfRank(int rank) { return rank / kBandsPerTier; }

std::vector<const jobs::Job*> UnfinishedJobsByAge(const jobs::JobTable& job_table) {
  std::vector<const jobs::Job*> jobs;
  for (const auto& [id, job] : job_table.jobs()) jobs.push_back(&job);
  std::sort(jobs.begin(), jobs.end(), [](const jobs::Job* left, const jobs::Job* right) {
    return std::tie(left->runnable_since, left->spec.id) <
           std::tie(right->runnable_since, right->spec.id);
  });
  return jobs;
}

JobQueue BuildJobQueue(const RoundInput& input, const RoundMachines& machines,
                       const JobOrder& order, const std::vector<const jobs::Job*>& jobs) {
  return JobQueueBuilder(input, machines, order, jobs).Take();
}

}  // namespace hallpier::plan
