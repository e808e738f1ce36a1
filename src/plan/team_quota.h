// Quota and guarantee accounts of all teams within one round. Processors and GPUs are accounted
// for, memory is not. Owned by the round that it is made for; one thread.
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
  // The teams' limits, less all that is placed. `jobs`: all unfinished ones. `ended_by_team`: what
  // is recorded as placed although its tasks are done.
  static TeamQuotas FromTeamLimits(const std::vector<config::Team>& teams,
                                   const std::vector<const jobs::Job*>& jobs,
                                   const std::map<std::string, Resources>& ended_by_team);
  // What is left of each team's share of a holder. A team that is not named has no limit.
  static TeamQuotas FromAllowances(const std::map<std::string, Resources>& allowances);

  // Charges the unfinished tasks of a job to its team's guarantee; jobs are charged oldest first.
  // True if all that is charged so far, this job included, is within the guarantee. `team`: null if
  // the settings don't name it; it then has none.
  bool ChargeGuarantee(const jobs::Job& job, const config::Team* team);

  // Takes up to `tasks` tasks off the quota of their team. How many there was enough left for.
  size_t Admit(const model::JobSpec& spec, size_t tasks);

 private:
  struct Account {
    double cpus_left = std::numeric_limits<double>::infinity();
    double gpus_left = std::numeric_limits<double>::infinity();
    Resources guarantee_used;  // by what is left of the jobs charged so far
  };
  std::map<std::string, Account> accounts_;  // by team
};

}  // namespace hallpier::plan
