#include "config/consistency_check.h"

#include <sstream>
#include <string_view>

namespace hallpier::config {
namespace {

// A team's quota of one resource. A limit of 0 means that there is no limit.
struct Quota {
  std::string_view resource;
  double guarantee;
  double limit;
};

void CheckQuota(const Team& team, const Quota& quota, std::vector<ConfigError>* errors) {
  if (quota.limit <= 0 || quota.guarantee <= quota.limit) return;
  std::ostringstream reason;
  reason << team.name << " is guaranteed " << quota.guarantee << " " << quota.resource
         << ", more than its limit of " << quota.limit;
  errors->push_back({"params.teams", reason.str()});
}

}  // namespace

std::vector<ConfigError> CheckConsistency(const Settings& settings,
                                          const OperatorOptions& options) {
  std::vector<ConfigError> errors;
  // With blocks enabled, controllers share a team's limit: their allocations never exceed the limit
  // in total, so a guarantee above the limit could never be met.
  if (!options.blocks.enabled) return errors;
  for (const Team& team : settings.teams) {
    CheckQuota(team, {"cpus", team.cpus, team.cpus_max}, &errors);
    CheckQuota(team, {"gpus", team.gpus, team.gpus_max}, &errors);
  }
  return errors;
}

}  // namespace hallpier::config
