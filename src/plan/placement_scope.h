// Determines which machines a round uses and which jobs it places if the machines are partitioned
// into blocks with owners (src/blocks). The functions refer to the block assignment that the scope
// was made from: a scope is made for one round and must not outlive that block assignment.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "jobs/job_table.h"
#include "plan/resources.h"

namespace hallpier::plan {

struct PlacementScope {
  size_t owner_count = 0;
  // Returns the index of a machine's owner, below `owner_count`; std::nullopt if no round may use
  // the machine.
  std::function<std::optional<size_t>(const std::string& machine)> owner_of;
  // Returns true if the owner may place tasks of the job.
  std::function<bool(size_t owner, const jobs::Job& job)> may_place;
  // If set, the round is planned for this owner only: on the owner's machines and for the jobs that
  // it may place. Such a round neither preempts tasks nor requests machines; both are decided in
  // the round that considers all machines.
  std::optional<size_t> single_owner;
  // If `single_owner` is set: the part of each team's quota that may still be placed. A team
  // without an entry has no limit.
  std::map<std::string, Resources> team_allowances;
};

}  // namespace hallpier::plan
