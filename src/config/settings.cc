#include "config/settings.h"

#include <algorithm>

namespace hallpier::config {

StateLimits Settings::SmallestStateLimits() const {
  StateLimits smallest{state_rps, state_write_rps, value_kb, txn_ops};
  if (!next_state_limits) return smallest;
  smallest.rps = std::min(smallest.rps, next_state_limits->rps);
  smallest.write_rps = std::min(smallest.write_rps, next_state_limits->write_rps);
  smallest.value_kb = std::min(smallest.value_kb, next_state_limits->value_kb);
  smallest.txn_ops = std::min(smallest.txn_ops, next_state_limits->txn_ops);
  return smallest;
}

std::vector<Seed> Settings::OtherSeeds() const {
  std::vector<Seed> others;
  for (const Seed& seed : seeds) {
    if (seed.node != node) others.push_back(seed);
  }
  return others;
}

std::vector<std::string> Settings::OtherNodes() const {
  std::vector<std::string> names;
  for (Seed& seed : OtherSeeds()) names.push_back(std::move(seed.node));
  return names;
}

const Team* Settings::FindTeam(const std::string& name) const {
  for (const Team& team : teams) {
    if (team.name == name) return &team;
  }
  return nullptr;
}

const Objective* Settings::FindObjective(const std::string& kind,
                                         const std::string& job_class) const {
  for (const Objective& objective : objectives) {
    if (objective.kind == kind && objective.job_class == job_class) return &objective;
  }
  return nullptr;
}

}  // namespace hallpier::config
