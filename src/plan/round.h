// One round: which waiting tasks start where, which running ones make room, what is missing. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/settings.h"
#include "fleet/roster.h"
#include "jobs/ledger.h"
#include "plan/duplex.h"

namespace hallpier::plan {

// Machines that the waiting tasks would need beyond what is there or about to be.
struct Want {
  std::string flavor;   // the preferred type
  std::string zone;     // empty: any
  bool spot = true;     // may be a spot machine
  double machines = 0;  // may be a fraction
};

struct Preemption {
  wire::TaskId task;
  uint64_t attempt = 0;
  double grace_s = 0;
};

struct RoundResult {
  std::vector<jobs::Mutation> places;
  std::vector<Preemption> preemptions;
  std::vector<Want> wants;
  size_t waiting = 0;
};

// What the settings and the cloud say, and what outlives a round.
struct Context {
  const config::Settings* settings = nullptr;
  const config::Operator* operators = nullptr;
  std::vector<wire::Flavor> flavors;
  // Room that a task of a lane takes whose aim is to start at once; learned from its jobs.
  std::map<std::string, Room> prompt_lanes;

  const wire::Flavor* FindFlavor(const std::string& name) const;
};

inline constexpr size_t kOldest = 500;  // waiting tasks that a round looks at

RoundResult PlanRound(Context& context, const jobs::Ledger& ledger, const fleet::Roster& roster,
                      double now);

// Expected run time of a job's task on a machine type: the learned mean there, else over all types,
// else the owner's estimate.
double PredictRun(const jobs::Job& job, const std::string& flavor);

}  // namespace hallpier::plan
