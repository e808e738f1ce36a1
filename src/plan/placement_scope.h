// Which machines a round uses and which jobs it places, where machines are divided among holders
// (src/blocks). The functions refer to the division that the scope was made from: a scope is made
// for one round and must not outlive that division.
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
  size_t holder_count = 0;
  // The number of the holder of a machine; nothing: no round uses the machine.
  std::function<std::optional<size_t>(const std::string& machine)> holder_of;
  // True if a holder may place tasks of a job.
  std::function<bool(size_t holder, const jobs::Job& job)> may_place;
  // Set: a round of this holder alone, on its machines, for the jobs that it may place. It preempts
  // nothing and asks for no machines; that is decided where all machines are looked at.
  std::optional<size_t> single_holder;
  // With `single_holder`: what may still be placed of each team's quota. A team that is not named
  // has no limit.
  std::map<std::string, Resources> team_allowances;
};

}  // namespace hallpier::plan
