// One round: which waiting tasks start where, which running ones make room, what is missing. Pure.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/operator_options.h"
#include "config/settings.h"
#include "fleet/worker_registry.h"
#include "jobs/job_table.h"
#include "model/job.h"
#include "model/machine_type.h"
#include "model/task.h"
#include "plan/duplex.h"

namespace hallpier::plan {

// Tasks that new machines would serve sooner than those that are there or about to be.
struct CapacityDemand {
  struct Choice {
    std::string machine_type;
    size_t fit = 1;  // tasks that a machine of the type holds
  };
  std::vector<Choice> choices;  // cheapest per task first
  std::string zone;             // empty: any
  bool spot = true;             // may be a spot machine
  size_t tasks = 0;
};

struct Preemption {
  model::TaskId task;
  uint64_t attempt = 0;
  std::string machine;
  double grace_s = 0;
  std::string for_job;  // who gets the room; empty: the machine is about to be taken
};

// Where machines are divided among holders (src/blocks): who has which, and who may place what.
struct Scope {
  size_t holders = 0;
  // The number of a machine's holder; nothing: no round uses it.
  std::function<std::optional<size_t>(const std::string& machine)> holder_of;
  std::function<bool(size_t holder, const jobs::Job& job)> may_place;
  // Set: a round of this holder alone, on its machines, for the jobs that it may place. It stops
  // nothing and asks for no machines; that is decided where all machines are looked at.
  std::optional<size_t> only;
  // What may be placed of each team's limit, with `only`. Who is not named has no limit.
  std::map<std::string, Room> room;
};

struct RoundResult {
  std::vector<jobs::TaskTransition> places;
  std::vector<Preemption> preemptions;
  std::vector<CapacityDemand> demands;
  // Jobs that fail everywhere and of which a task is started once more.
  std::vector<std::string> retried_jobs;
  size_t waiting = 0;
  // With a scope, by holder and team: what the map places there, now or as soon as there is room.
  std::vector<std::map<std::string, Room>> planned;
  // By team, the first job in the order of which the team's limit keeps tasks waiting.
  std::map<std::string, std::string> first_over_limit;
};

// What the settings and the cloud say, and what outlives a round.
struct Context {
  const config::Settings* settings = nullptr;
  const config::OperatorOptions* operators = nullptr;
  std::vector<model::MachineType> machine_types;
  // Lanes whose aim is to start at once, with the room that a task takes and the usual size of a
  // job; learned from their jobs.
  struct LatencySensitiveClass {
    Room need;
    double tasks = 0;
  };
  std::map<std::string, LatencySensitiveClass> latency_sensitive;

  const model::MachineType* FindMachineType(const std::string& name) const;
};

// Waiting tasks that a round looks at: what one transaction can record, and never less than 500.
size_t OldestTasks(const config::Settings& settings);

// `now` is steady, `wall_now` the time of day that submissions are stamped with.
// `scope`: null where machines are not divided.
RoundResult PlanRound(Context& context, const jobs::JobTable& job_table,
                      const fleet::WorkerRegistry& registry, double now, double wall_now,
                      const Scope* scope = nullptr);

// True if a machine, were it empty, could run tasks of a job.
bool CouldRun(const model::JobSpec& spec, const fleet::Machine& machine,
              const model::MachineType& machine_type);

// Expected run time of a job's task on a machine type: the learned mean there, else over all types,
// else the owner's estimate.
double PredictRun(const jobs::Job& job, const std::string& machine_type);

}  // namespace hallpier::plan
