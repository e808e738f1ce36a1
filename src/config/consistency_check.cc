#include "config/consistency_check.h"

#include <sstream>
#include <string_view>

namespace hallpier::config {
namespace {

// One kind of resource in a team's quota. A limit of 0 stands for none.
struct Quota {
  std::string_view resource;
  double guarantee;
  double limit;
};

void CheckQuota(const Team& team, const Quota& quota, std::vector<ConfigError>* faults) {
  if (quota.limit <= 0 || quota.guarantee <= quota.limit) return;
  std::ostringstream reason;
  reason << team.name << " is guaranteed " << quota.guarantee << " " << quota.resource
         << ", more than its limit of " << quota.limit;
  faults->push_back({"params.teams", reason.str()});
}

}  // namespace

std::vector<ConfigError> CheckConsistency(const Settings& settings,
                                          const OperatorOptions& options) {
  std::vector<ConfigError> faults;
  // Controllers that share a limit lend each other no more than the limit; a guarantee beyond it
  // could never be met.
  if (!options.blocks.enabled) return faults;
  for (const Team& team : settings.teams) {
    CheckQuota(team, {"cpus", team.cpus, team.cpus_max}, &faults);
    CheckQuota(team, {"gpus", team.gpus, team.gpus_max}, &faults);
  }
  return faults;
}

}  // namespace hallpier::config
