// Counts what is recorded as placed, by team and holder. Does no I/O.
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
  AmountByTeam unowned;  // on machines of no holder
};

// The number of a machine's holder, below `holders`; nothing: it has none.
using OwnerLookup = std::function<std::optional<size_t>(const std::string& machine)>;

// Everything that is recorded as placed counts, ended or not: it may be alive until the records say
// otherwise.
Usage CountPlaced(const jobs::JobTable& job_table, size_t holders, const OwnerLookup& holder_of);

// By team, the smallest amount of each kind that a task of an unfinished job takes.
AmountByTeam SmallestTasks(const jobs::JobTable& job_table);

// What one task of a job takes of its team's limit.
Amount TaskAmount(const model::JobSpec& spec);

}  // namespace hallpier::quota
