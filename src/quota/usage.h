// Sums the resources of recorded placements by owner and team. Does no I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "jobs/job_table.h"
#include "model/job.h"
#include "quota/allocation_record.h"

namespace hallpier::quota {

struct Usage {
  std::vector<AmountByTeam> by_owner;
  AmountByTeam unowned;  // on machines without an owner
};

// Returns the index of a machine's owner; std::nullopt if it has none.
using OwnerLookup = std::function<std::optional<size_t>(const std::string& machine)>;

// Counts every recorded placement, even that of an ended task: until the records say otherwise, the
// task may be alive. `owners`: the number of owners; all indexes from `owner_of` are below it.
Usage CountPlaced(const jobs::JobTable& job_table, size_t owners, const OwnerLookup& owner_of);

// Returns by team the smallest amount of each kind of resource that a task of an unfinished job
// takes.
AmountByTeam SmallestTasks(const jobs::JobTable& job_table);

// Returns the amount that one task of a job takes from its team's limit.
Amount TaskAmount(const model::JobSpec& spec);

}  // namespace hallpier::quota
