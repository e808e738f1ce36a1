// The accounts of all teams' quotas and guarantees within one round. Covers processors and GPUs,
// but not memory. Owned by one round and used by one thread.
#pragma once

#include <cstddef>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "config/settings.h"
#include "jobs/job_table.h"
#include "plan/resources.h"

namespace hallpier::plan {

class TeamQuotas {
 public:
  // Returns accounts with the teams' limits, less all placed tasks. `jobs`: all unfinished jobs.
  // `reported_done_by_team`: resources of tasks that are recorded as placed although they are done.
  static TeamQuotas FromTeamLimits(const std::vector<config::Team>& teams,
                                   const std::vector<const jobs::Job*>& jobs,
                                   const std::map<std::string, Resources>& reported_done_by_team);
  // Returns accounts with the given allowances: what remains of one owner's allocation of each
  // team's quota. A team without an entry has no limit.
  static TeamQuotas FromAllowances(const std::map<std::string, Resources>& allowances);

  // Charges the unfinished tasks of a job to its team's guarantee. Must be called for the oldest
  // job first. Returns true if the guarantee covers all charges so far, including this job. `team`
  // is null if the settings don't contain the team, which then has no guarantee.
  bool ChargeGuarantee(const jobs::Job& job, const config::Team* team);

  // Charges up to `tasks` tasks to their team's quota. Returns how many of them the remaining quota
  // covers.
  size_t Admit(const model::JobSpec& spec, size_t tasks);

 private:
  struct Account {
    double cpus_left = std::numeric_limits<double>::infinity();
    double gpus_left = std::numeric_limits<double>::infinity();
    Resources guarantee_used;  // unfinished tasks of the jobs charged so far
  };
  std::map<std::string, Account> accounts_;  // by team
};

}  // namespace hallpier::plan
