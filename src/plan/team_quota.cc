#include "plan/team_quota.h"

#include <algorithm>
#include <cmath>

namespace hallpier::plan {
namespace {

// Returns how many of `tasks` tasks that require `need` each are covered by `left`.
size_t TasksWithin(double left, double need, size_t tasks) {
  if (need <= 0 || left == std::numeric_limits<double>::infinity()) return tasks;
  return static_cast<size_t>(std::max(0.0, WholeQuotient(left, need)));
}

}  // namespace

TeamQuotas TeamQuotas::FromTeamLimits(
    const std::vector<config::Team>& teams, const std::vector<const jobs::Job*>& jobs,
    const std::map<std::string, Resources>& reported_done_by_team) {
  TeamQuotas quotas;
  for (const config::Team& team : teams) {
    Account& account = quotas.accounts_[team.name];
    if (team.cpus_max > 0) account.cpus_left = team.cpus_max;
    if (team.gpus_max > 0) account.gpus_left = team.gpus_max;
  }
  for (const jobs::Job* job : jobs) {
    Account& account = quotas.accounts_[job->spec.team];
    const double placed = job->placed();
    account.cpus_left -= placed * job->spec.cpus;
    account.gpus_left -= placed * job->spec.gpus;
  }
  for (const auto& [team, resources] : reported_done_by_team) {
    quotas.accounts_[team].cpus_left += resources.cpus;
    quotas.accounts_[team].gpus_left += resources.gpus;
  }
  return quotas;
}

TeamQuotas TeamQuotas::FromAllowances(const std::map<std::string, Resources>& allowances) {
  TeamQuotas quotas;
  for (const auto& [team, resources] : allowances) {
    quotas.accounts_[team].cpus_left = resources.cpus;
    quotas.accounts_[team].gpus_left = resources.gpus;
  }
  return quotas;
}

bool TeamQuotas::ChargeGuarantee(const jobs::Job& job, const config::Team* team) {
  Account& account = accounts_[job.spec.team];
  const double unfinished = job.spec.tasks - job.done();
  account.guarantee_used += {unfinished * job.spec.cpus, unfinished * job.spec.gpus, 0};
  if (team == nullptr || (team->cpus <= 0 && team->gpus <= 0)) return false;
  const Resources guarantee{team->cpus, team->gpus, 0};
  return guarantee.Fits(account.guarantee_used);
}

size_t TeamQuotas::Admit(const model::JobSpec& spec, size_t tasks) {
  Account& account = accounts_[spec.team];
  const size_t admitted = std::min({tasks, TasksWithin(account.cpus_left, spec.cpus, tasks),
                                    TasksWithin(account.gpus_left, spec.gpus, tasks)});
  account.cpus_left -= static_cast<double>(admitted) * spec.cpus;
  account.gpus_left -= static_cast<double>(admitted) * spec.gpus;
  return admitted;
}

}  // namespace hallpier::plan
